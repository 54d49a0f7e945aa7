//! sesamehaven-config

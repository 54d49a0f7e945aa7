//! sesamehaven-daemons

//! sesamehaven-standins

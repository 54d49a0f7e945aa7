//! sesamehaven-system-tests

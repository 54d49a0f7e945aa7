//! sesamehaven-daemons

pub mod feed;
pub mod platform;

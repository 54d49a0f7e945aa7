//! sesamehaven-daemons

pub mod feed;
mod feed_shelf;
pub mod platform;

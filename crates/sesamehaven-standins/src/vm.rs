//! VMs as the platform lists them.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The name.
    pub name: SmolStr,
    /// The data centre.
    pub data_centre: SmolStr,
    /// What it is there for.
    pub role: SmolStr,
    /// Its address.
    pub address: SmolStr,
    /// `live`, `leaving` or `gone`.
    pub state: VmState,
}

/// Where a VM is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be taken away soon.
    Leaving,
    /// It has been taken away.
    Gone,
}

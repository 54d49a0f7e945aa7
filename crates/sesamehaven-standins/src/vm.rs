//! The VM list of the platform.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A VM in the list of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The name.
    pub name: SmolStr,
    /// The data centre.
    pub data_centre: SmolStr,
    /// The role.
    pub role: SmolStr,
    /// The address.
    pub address: SmolStr,
    /// The state: `live`, `leaving` or `gone`.
    pub state: VmState,
}

/// The lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be removed soon.
    Leaving,
    /// The VM has been removed.
    Gone,
}

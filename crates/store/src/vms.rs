//! The platform's list of VMs, which may be out of date.

use std::net::SocketAddr;

use async_trait::async_trait;
use fescue_core::{DataCentreId, VmId, record};

use crate::TableError;

record! {
    /// One VM of the fleet, as the platform lists it.
    pub struct Vm {
        /// The name of the VM.
        pub vm: VmId,
        /// The address at which its router listens for peers.
        pub address: SocketAddr,
        /// The data centre of the VM.
        pub data_centre: DataCentreId,
        /// Whether the platform is about to remove the VM.
        pub state: VmState,
    }

    /// The state of a VM in the platform's list.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum VmState {
        /// The VM is in use.
        Live,
        /// The platform will remove the VM soon.
        Leaving,
    }
}

/// The source of the list of VMs.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Returns the VMs that the platform lists at present.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached in time.
    async fn vms(&self) -> Result<Vec<Vm>, TableError>;
}

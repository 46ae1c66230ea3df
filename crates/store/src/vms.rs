//! The platform's list of VMs, which lags behind the truth.

use std::net::SocketAddr;

use async_trait::async_trait;
use fescue_core::{DataCentreId, VmId, record};

use crate::TableError;

record! {
    /// One VM of the fleet, as the platform lists it.
    pub struct Vm {
        /// Its name.
        pub vm: VmId,
        /// Where its router listens for peers.
        pub address: SocketAddr,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Whether it is to go.
        pub state: VmState,
    }

    /// Whether a VM stays.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum VmState {
        /// It stays.
        Live,
        /// It is to go soon.
        Leaving,
    }
}

/// The list of VMs.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Returns the VMs as listed now.
    ///
    /// # Errors
    ///
    /// When the platform can't be reached in time.
    async fn vms(&self) -> Result<Vec<Vm>, TableError>;
}

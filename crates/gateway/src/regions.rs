//! The regions to which routes and teams restrict their requests.

use fescue_core::DataCentreId;
use indexmap::{IndexMap, IndexSet};

use crate::model::{Region, Route, Team};

/// Returns the data centres to whose upstreams a request may be sent; `None` if to all. A restricted request
/// may not be sent to a data centre whose region is unknown.
pub fn allowed(
    regions: &IndexMap<DataCentreId, Region>,
    route: &Route,
    team: Option<&Team>,
) -> Option<IndexSet<DataCentreId>> {
    let team = team.map_or(&[][..], |team| &team.allowed_regions);
    let restrictions = [&route.allowed_regions[..], team];
    if restrictions.iter().all(|allowed| allowed.is_empty()) {
        return None;
    }
    let permits = |allowed: &&[Region], region| allowed.is_empty() || allowed.contains(region);
    let permitted = regions
        .iter()
        .filter(|(_, region)| restrictions.iter().all(|allowed| permits(allowed, region)));
    Some(
        permitted
            .map(|(data_centre, _)| data_centre.clone())
            .collect(),
    )
}

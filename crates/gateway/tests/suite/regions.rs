//! The regions to which routes and teams restrict their requests.

use std::time::Duration;

use fescue_core::{DataCentreId, ServiceId};
use fescue_gateway::model::{Region, Route, Team, Upstream};
use fescue_gateway::origins::Origin;
use fescue_gateway::regions::allowed;
use fescue_gateway::upstreams::{Requirements, Servers};
use indexmap::{IndexMap, IndexSet};
use serde_json::json;

use super::site::{manifest, parse, route, settings_text};
use super::upstreams::upstream;

fn zone(name: &str) -> DataCentreId {
    name.parse().expect("a data centre")
}

fn regions(names: &[&str]) -> Vec<Region> {
    names.iter().copied().map(Region::new).collect()
}

fn restricted_route(names: &[&str]) -> Route {
    Route {
        allowed_regions: regions(names),
        ..route("r", "h", "/", &[])
    }
}

fn restricted_team(names: &[&str]) -> Team {
    let teams = manifest(1, Vec::new(), &[("t", 1)]).teams;
    Team {
        allowed_regions: regions(names),
        ..teams.expect("teams").remove(0)
    }
}

/// The regions of three data centres. Those of others are unknown.
fn settings() -> IndexMap<DataCentreId, Region> {
    let mut settings = settings_text("vm-1");
    settings["regions"] = json!({ "a": "north", "b": "north", "c": "south" });
    parse(&settings).regions
}

fn allowed_names(route: &[&str], team: Option<&[&str]>) -> Option<Vec<String>> {
    let team = team.map(restricted_team);
    let allowed = allowed(&settings(), &restricted_route(route), team.as_ref())?;
    Some(allowed.iter().map(ToString::to_string).collect())
}

/// Guards against a restriction that is ignored because the other one allows the region, and against one that
/// is taken from an empty list.
#[test]
fn allowed_applies_both_restrictions() {
    let names = |names: &[&str]| Some(names.iter().map(|name| (*name).to_owned()).collect());
    assert_eq!(allowed_names(&[], None), None);
    assert_eq!(allowed_names(&[], Some(&[])), None);
    assert_eq!(allowed_names(&["north"], None), names(&["a", "b"]));
    assert_eq!(allowed_names(&[], Some(&["south"])), names(&["c"]));
    assert_eq!(
        allowed_names(&["north", "south"], Some(&["south"])),
        names(&["c"])
    );
    assert_eq!(allowed_names(&["north"], Some(&["south"])), names(&[]));
    assert_eq!(allowed_names(&["nowhere"], None), names(&[]));
}

/// Without regions in the settings, no data centre is allowed for a restricted request.
#[test]
fn allowed_without_settings() {
    let regions = parse(&settings_text("vm-1")).regions;
    assert!(regions.is_empty());
    let names = allowed(&regions, &restricted_route(&["north"]), None);
    assert_eq!(names, Some(IndexSet::new()));
}

/// Guards against restricted requests, retries and resumed streams at upstreams of other or unknown regions,
/// and against waits where no upstream is left.
#[tokio::test(start_paused = true)]
async fn placement_keeps_to_allowed_data_centres() {
    let mut servers = Servers::default();
    for name in ["a", "b", "c", "d"] {
        servers.put(Upstream {
            data_centre: zone(name),
            ..upstream(name, false)
        });
    }
    let service: ServiceId = "plain".parse().expect("a service");
    let north: IndexSet<_> = ["a", "b"].map(zone).into_iter().collect();
    let tried = ["a".parse().expect("an id")];
    let origin = Origin {
        service: service.clone(),
        version: "v1".parse().expect("a version"),
        weights: None,
    };
    let mut requirements = Requirements {
        service: &service,
        prefix: None,
        input: 0,
        origin: Some(&origin),
        tried: &tried,
        denied: &[],
        allowed: Some(&north),
        limited: true,
        tie_breaker: 1,
    };
    for tie_breaker in 0..20 {
        requirements.tie_breaker = tie_breaker;
        let slot = servers.acquire(Duration::ZERO, &requirements, "c");
        let slot = slot.expect("an upstream");
        assert_eq!(slot.server().entry.id.as_str(), "b");
    }
    assert!(servers.can_serve(&requirements));
    assert!(!servers.is_excluded(&service, Some(&north)));
    servers.set_evacuated([zone("b")].into_iter().collect());
    assert!(!servers.can_serve(&requirements));
    assert!(!servers.is_excluded(&service, Some(&north)));
    servers.set_evacuated(north.clone());
    assert!(servers.is_excluded(&service, Some(&north)));
    assert!(!servers.is_excluded(&service, None));
    let none = IndexSet::new();
    requirements.allowed = Some(&none);
    assert!(
        servers
            .acquire(Duration::ZERO, &requirements, "c")
            .is_none()
    );
    assert!(servers.is_excluded(&service, Some(&none)));
}

//! Looks up routes by host and longest prefix, and teams by key.

use std::collections::HashMap;
use std::sync::Arc;

use fescue_core::{ServiceId, TeamId, Tokens, hash};
use indexmap::IndexMap;

use crate::model::{Manifest, Route, Team};

/// One version of the configuration with its look-up tables.
#[derive(Debug)]
pub struct Catalog {
    manifest: Manifest,
    /// The routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
}

impl Catalog {
    /// Builds the look-up tables of a configuration.
    pub fn open(manifest: Manifest) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in manifest.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(manifest.routes[*index].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, team) in manifest.teams.iter().flatten().enumerate() {
            for key in &team.keys {
                keys.insert(key.clone(), index);
            }
        }
        Self {
            manifest,
            hosts,
            keys,
        }
    }

    /// Returns the configuration that the tables were built from.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns the route of a host and path: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host_name(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        let mut routes = routes.iter().map(|index| &self.manifest.routes[*index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Returns whether the configuration has teams, so that callers need a key.
    pub fn requires_keys(&self) -> bool {
        self.manifest.teams.is_some()
    }

    /// Returns the team that holds a key.
    pub fn team_by_key(&self, key: &str) -> Option<&Team> {
        let index = self.keys.get(key)?;
        self.manifest.teams.as_ref()?.get(*index)
    }

    /// Returns the prepaid tokens of each team that has a limit.
    pub fn prepaid(&self) -> IndexMap<TeamId, Tokens> {
        let teams = self.manifest.teams.iter().flatten();
        let teams = teams.filter_map(|team| Some((team.name.clone(), team.prepaid?)));
        teams.collect()
    }

    /// Returns the names of all teams.
    pub fn team_names(&self) -> impl Iterator<Item = &TeamId> + Clone {
        let teams = self.manifest.teams.iter().flatten();
        teams.map(|team| &team.name)
    }

    /// Returns the team with the given name.
    pub fn team(&self, name: &TeamId) -> Option<&Team> {
        let mut teams = self.manifest.teams.iter().flatten();
        teams.find(|team| team.name == *name)
    }
}

/// Chooses one of a route's services by weight. The choice depends only on the route and the id.
pub fn choose_service<'a>(route: &'a Route, id: &str) -> Option<&'a ServiceId> {
    let total: u64 = route.split.iter().map(|(_, w)| u64::from(*w)).sum();
    if total == 0 {
        return route.split.first().map(|(service, _)| service);
    }
    let mut point = hash::digest64(id.as_bytes()) % total;
    for (service, weight) in &route.split {
        let weight = u64::from(*weight);
        if point < weight {
            return Some(service);
        }
        point -= weight;
    }
    None
}

/// Strips the port from a host.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

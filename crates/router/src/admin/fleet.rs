//! Endpoints for the fleet: the state of this router, the VMs and the upstreams.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Path, State};
use fescue_core::UpstreamId;
use serde_json::{Value, json};

use super::{Admin, Problem};

pub(super) async fn status(State(admin): State<Arc<Admin>>) -> Json<Value> {
    let board = &admin.board;
    let rules = board.rules.lock().version();
    let peers = board.members.lock().alive().count();
    let kept: usize = board.kept.lock().values().map(|bills| bills.len()).sum();
    let noted_for = board.notebook.lock().len();
    let bills = board.outbox.lock().len();
    let waiting: Vec<_> = board.pools.lock().waiting();
    let ledger = board.ledger.lock();
    let tokens: Vec<_> = ledger
        .holdings()
        .map(|(id, holding)| {
            json!({"budget": id, "unspent": holding.unspent(), "cleared": holding.cleared()})
        })
        .collect();
    drop(ledger);
    Json(json!({
        "vm": board.me.vm,
        "incarnation": board.me.incarnation,
        "data_centre": board.me.data_centre,
        "phase": format!("{:?}", board.phase()).to_lowercase(),
        "rules": rules,
        "peers": peers,
        "running": *board.running.borrow(),
        "waiting": waiting,
        "bills_unstored": bills,
        "bills_kept": kept,
        "noted_for": noted_for,
        "tokens": tokens,
        "fence": board.fence(),
    }))
}

pub(super) async fn upstreams(State(admin): State<Arc<Admin>>) -> Json<Value> {
    let now = admin.board.now();
    let upstreams = admin.board.upstreams.lock().snapshots(now);
    Json(json!({"upstreams": upstreams}))
}

pub(super) async fn drain(
    State(admin): State<Arc<Admin>>,
    Path(name): Path<String>,
) -> Result<Json<Value>, Problem> {
    let not_found = || Problem::not_found(format!("there is no upstream {name}"));
    let id: UpstreamId = name.parse().map_err(|_| not_found())?;
    if !admin.board.upstreams.lock().drain(&id) {
        return Err(not_found());
    }
    Ok(Json(json!({"upstream": id, "leaving": true})))
}

pub(super) async fn vms(State(admin): State<Arc<Admin>>) -> Json<Value> {
    let members = admin.board.members.lock();
    let alive = members.incarnations();
    let vms: Vec<_> = members
        .all()
        .map(|m| {
            let heard = m.incarnation.is_some_and(|i| alive.contains(&i));
            json!({
                "vm": m.vm, "address": m.address, "data_centre": m.data_centre,
                "incarnation": m.incarnation, "alive": heard, "leaving": m.leaving,
            })
        })
        .collect();
    Json(json!({"vms": vms}))
}

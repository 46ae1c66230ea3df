//! Claims on calls that may not be repeated.
//!
//! The claim is written to the table before the call is sent, so that no router of the fleet sends
//! the call a second time. See [docs/design/calls.md](../../../docs/design/calls.md).

use std::sync::Arc;

use fescue_core::{Era, Incarnation, RequestId, ServiceId, TeamId, record};
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::{Commit, Row, Table, TableError, Transaction, keys};

/// The number of attempts to write a claim, including those after a lost answer.
const MAX_ATTEMPTS: u32 = 4;

/// The number of claims that a router remembers; the oldest is dropped first.
const MAX_HELD: usize = 4096;

/// The number of claims that are written again in one transaction.
const BATCH_SIZE: usize = 100;

record! {
    /// The row of a claim, with the upstream's answer once there is one.
    pub struct ClaimRow {
        /// The router that claimed the call.
        pub by: Incarnation,
        /// The sequence number of the claim at that router, by which the router recognises its own
        /// write.
        pub number: u64,
        /// A hash of the call's body, which distinguishes a repeat from a reused request id.
        pub body: u64,
        /// The upstream's answer; `None` while the call is running or its outcome is unknown.
        pub answer: Option<Answer>,
    }

    /// An upstream's answer, stored so that a repeat of the call gets the same one.
    pub struct Answer {
        /// The HTTP status code.
        pub status: u16,
        /// The value of the `content-type` header.
        #[serde(rename = "kind")]
        pub content_type: String,
        /// The body as text.
        pub body: String,
    }
}

/// The identity of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallId {
    /// The service that is called.
    pub service: ServiceId,
    /// The team of the caller.
    pub team: TeamId,
    /// The id of the request, which is unique within the team and service.
    pub request: RequestId,
}

impl CallId {
    fn key(&self) -> String {
        keys::claim(&self.service, &self.team, &self.request)
    }
}

/// The outcome of claiming a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This router holds the claim and may send the call once.
    Acquired,
    /// The call was claimed before, by this or another router.
    Existing(ClaimRow),
}

/// The claims stored in the table.
#[derive(Clone)]
pub struct Claims {
    table: Arc<dyn Table>,
    /// The claims that this router holds, for a table that comes back without them.
    held: Arc<Mutex<IndexMap<CallId, ClaimRow>>>,
}

impl Claims {
    /// Creates a handle to the claims in `table`.
    pub fn open(table: Arc<dyn Table>) -> Self {
        let held = Arc::default();
        Self { table, held }
    }

    /// Returns the era of the table's last answer.
    pub fn era(&self) -> Option<Era> {
        self.table.era()
    }

    /// Writes the claims of this router again that the table lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached or `era` is past; the method may be called
    /// again.
    pub async fn repeat(&self, era: Era) -> Result<(), TableError> {
        let held: Vec<_> = self.held.lock().clone().into_iter().collect();
        for batch in held.chunks(BATCH_SIZE) {
            let keys: Vec<_> = batch.iter().map(|(id, _)| id.key()).collect();
            let rows = self.table.read(&keys).await?;
            let mut write = Transaction {
                era: Some(era),
                ..Transaction::default()
            };
            for ((_, claim), row) in batch.iter().zip(&rows) {
                let stored: Option<ClaimRow> = row.decode()?;
                let open = stored.is_none_or(|stored| {
                    stored.by == claim.by
                        && stored.number == claim.number
                        && stored.answer.is_none()
                });
                if open {
                    write.replace(row, claim);
                }
            }
            let claims = write.put.len();
            if claims == 0 {
                continue;
            }
            if self.table.transact(&write).await? == Commit::Conflict {
                let changed = "claims changed while they were written again";
                return Err(TableError::Unavailable(changed.to_owned()));
            }
            tracing::warn!(%era, claims, "claims written again after a return of the table");
        }
        Ok(())
    }

    /// Remembers a claim of this router.
    fn hold(&self, id: &CallId, claim: &ClaimRow) {
        let mut held = self.held.lock();
        held.insert(id.clone(), claim.clone());
        if held.len() > MAX_HELD {
            held.shift_remove_index(0);
        }
    }

    /// Claims a call in the current `era` of the table; in another one, the claim fails.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Lost`] if the claim may be in the table; the call must not be sent
    /// then.
    pub async fn claim(
        &self,
        id: &CallId,
        claim: &ClaimRow,
        era: Option<Era>,
    ) -> Result<ClaimOutcome, TableError> {
        let claimed = self.try_claim(id, claim, era).await;
        if claimed == Ok(ClaimOutcome::Acquired) {
            self.hold(id, claim);
        }
        claimed
    }

    async fn try_claim(
        &self,
        id: &CallId,
        claim: &ClaimRow,
        era: Option<Era>,
    ) -> Result<ClaimOutcome, TableError> {
        let key = id.key();
        let mut write = Transaction {
            era,
            ..Transaction::default()
        };
        write.replace(&Row::absent(&key), claim);
        let mut lost = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.table.transact(&write).await {
                Ok(Commit::Done(_)) => return Ok(ClaimOutcome::Acquired),
                Ok(Commit::Conflict) => {}
                Err(error @ TableError::Lost(_)) => lost = Some(error),
                Err(error) => return Err(lost.unwrap_or(error)),
            }
            match self.find(id).await {
                Ok(Some(row)) if row.by == claim.by && row.number == claim.number => {
                    return Ok(ClaimOutcome::Acquired);
                }
                Ok(Some(row)) => return Ok(ClaimOutcome::Existing(row)),
                Ok(None) => {}
                Err(error) => return Err(lost.unwrap_or(error)),
            }
        }
        let withdrawn = || TableError::Unavailable("a conflicting claim was withdrawn".to_owned());
        Err(lost.unwrap_or_else(withdrawn))
    }

    /// Reads the claim on a call; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn find(&self, id: &CallId) -> Result<Option<ClaimRow>, TableError> {
        let rows = self.table.read(&[id.key()]).await?;
        rows[0].decode()
    }

    /// Stores the answer of a call that this router claimed.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached; the method may be called again.
    pub async fn store_answer(
        &self,
        id: &CallId,
        claim: &ClaimRow,
        answer: Answer,
    ) -> Result<(), TableError> {
        let answered = ClaimRow {
            answer: Some(answer),
            ..claim.clone()
        };
        self.hold(id, &answered);
        self.update(id, claim, |row, write| write.replace(row, &answered))
            .await
    }

    /// Withdraws the claim of a call that was never sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached; the method may be called again.
    pub async fn withdraw(&self, id: &CallId, claim: &ClaimRow) -> Result<(), TableError> {
        self.held.lock().shift_remove(id);
        self.update(id, claim, |row, write| write.remove(row)).await
    }

    /// Updates a claim if this router still holds it and it has no answer.
    async fn update(
        &self,
        id: &CallId,
        claim: &ClaimRow,
        plan: impl Fn(&Row, &mut Transaction) + Send + Sync,
    ) -> Result<(), TableError> {
        let rows = self.table.read(&[id.key()]).await?;
        let stored: Option<ClaimRow> = rows[0].decode()?;
        let is_own = |row: &ClaimRow| row.by == claim.by && row.number == claim.number;
        let open = stored.is_some_and(|row| is_own(&row) && row.answer.is_none());
        if !open {
            return Ok(());
        }
        let mut write = Transaction::default();
        plan(&rows[0], &mut write);
        self.table.transact(&write).await.map(drop)
    }
}

//! Claims on calls that may not be repeated.
//!
//! The claim is in the table before the call leaves, so that no router anywhere makes the call a
//! second time. See [docs/design/calls.md](../../../docs/design/calls.md).

use std::sync::Arc;

use fescue_core::{Incarnation, RequestId, ServiceId, TeamId, record};

use crate::{Commit, Row, Table, TableError, Transaction, keys};

/// How often a claim is tried again after a lost answer.
const TRIES: u32 = 4;

record! {
    /// A claim, and the answer once there is one.
    pub struct ClaimRow {
        /// The router that made the call.
        pub by: Incarnation,
        /// Counts the claims of that router, to tell its own write from another's.
        pub number: u64,
        /// A fingerprint of the call's body.
        pub body: u64,
        /// The upstream's answer.
        pub answer: Option<Answer>,
    }

    /// An upstream's answer, kept so that a repeat gets the same.
    pub struct Answer {
        /// The HTTP status.
        pub status: u16,
        /// The content type.
        #[serde(rename = "kind")]
        pub content_type: String,
        /// The body.
        pub body: String,
    }
}

/// Which call is claimed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallId {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
    /// The request.
    pub request: RequestId,
}

impl CallId {
    fn key(&self) -> String {
        keys::claim(&self.service, &self.team, &self.request)
    }
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The call is this router's to make, once.
    Acquired,
    /// The call was claimed before.
    Existing(ClaimRow),
}

/// The claims in the table.
#[derive(Clone)]
pub struct Claims {
    table: Arc<dyn Table>,
}

impl Claims {
    /// Opens the claims that are kept in `table`.
    pub fn open(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// Claims a call.
    ///
    /// # Errors
    ///
    /// [`TableError::Lost`] when the claim may be in the table; the call must not be made then.
    pub async fn claim(&self, id: &CallId, claim: &ClaimRow) -> Result<ClaimOutcome, TableError> {
        let key = id.key();
        let mut write = Transaction::default();
        write.replace(&Row::absent(&key), claim);
        let mut lost = None;
        for _ in 0..TRIES {
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
        let busy = || TableError::Unavailable("the claim was withdrawn meanwhile".to_owned());
        Err(lost.unwrap_or_else(busy))
    }

    /// Reads a claim.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn find(&self, id: &CallId) -> Result<Option<ClaimRow>, TableError> {
        let rows = self.table.read(&[id.key()]).await?;
        rows[0].decode()
    }

    /// Stores the answer of a call that this router claimed.
    ///
    /// # Errors
    ///
    /// When the store can't be reached; the call may be asked again.
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
        self.change(id, claim, |row, write| write.replace(row, &answered))
            .await
    }

    /// Withdraws the claim of a call that was never sent.
    ///
    /// # Errors
    ///
    /// When the store can't be reached; the call may be asked again.
    pub async fn withdraw(&self, id: &CallId, claim: &ClaimRow) -> Result<(), TableError> {
        self.change(id, claim, |row, write| write.remove(row)).await
    }

    /// Changes a claim that is still this router's and has no answer.
    async fn change(
        &self,
        id: &CallId,
        claim: &ClaimRow,
        plan: impl Fn(&Row, &mut Transaction) + Send + Sync,
    ) -> Result<(), TableError> {
        let rows = self.table.read(&[id.key()]).await?;
        let known: Option<ClaimRow> = rows[0].decode()?;
        let ours = |row: &ClaimRow| row.by == claim.by && row.number == claim.number;
        let open = known.is_some_and(|row| ours(&row) && row.answer.is_none());
        if !open {
            return Ok(());
        }
        let mut write = Transaction::default();
        plan(&rows[0], &mut write);
        self.table.transact(&write).await.map(drop)
    }
}

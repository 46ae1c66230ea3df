//! The questions for tokens that a home can't answer yet.
//!
//! A home that must renew its license first keeps a question and answers it as soon as the license allows,
//! so that the asker needn't ask again. Each router has at most one question for a team. They are answered
//! in the order of the requests that wait for them, see [`super::waiting`].

use std::hash::Hash;
use std::time::Duration;

use fescue_core::Tokens;
use indexmap::IndexMap;

use super::waiting::{Need, Ticket, Waiting};

/// A question of another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// The number that its answer names.
    pub number: u64,
    /// What the first waiting request lacks, and until when the question is kept.
    pub need: Need,
    /// The tokens that also cover the other waiting requests and the near future.
    pub wanted: Tokens,
}

/// The questions for one team's tokens, by the router that asked.
#[derive(Debug)]
pub struct Questions<K> {
    waiting: Waiting<K>,
    open: IndexMap<K, (Ticket, Question)>,
}

impl<K> Default for Questions<K> {
    fn default() -> Self {
        Self {
            waiting: Waiting::default(),
            open: IndexMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Questions<K> {
    /// Keeps a question. It replaces an earlier one of the same router.
    pub fn push(&mut self, asker: K, question: Question) {
        self.remove(asker);
        let ticket = self.waiting.push(question.need, asker);
        self.open.insert(asker, (ticket, question));
    }

    /// Returns the question to be answered next.
    pub fn first(&mut self, now: Duration) -> Option<(K, Question)> {
        let (_, asker) = self.waiting.first_entry(now)?;
        let (asker, (_, question)) = self.open.get_key_value(asker)?;
        Some((*asker, *question))
    }

    /// Removes a router's question.
    pub fn remove(&mut self, asker: K) -> Option<Question> {
        let (ticket, question) = self.open.swap_remove(&asker)?;
        self.waiting.remove(ticket);
        Some(question)
    }

    /// Returns a router's question.
    pub fn get(&self, asker: K) -> Option<&Question> {
        self.open.get(&asker).map(|(_, question)| question)
    }

    /// Iterates over the questions and who asked them.
    pub fn iter(&self) -> impl Iterator<Item = (K, Question)> {
        self.open
            .iter()
            .map(|(asker, (_, question))| (*asker, *question))
    }

    /// Removes the questions that are no longer kept.
    pub fn expire(&mut self, now: Duration) -> Vec<(K, Question)> {
        let expired = self.waiting.extract(|need, _| need.end <= now);
        let question = |asker| {
            let (_, question) = self.open.swap_remove(&asker)?;
            Some((asker, question))
        };
        expired.into_iter().filter_map(question).collect()
    }

    /// Returns what all questions want together, and the smallest amount that one needs; `None` if there
    /// is no question.
    pub fn demand(&self) -> Option<(Tokens, Tokens)> {
        let questions = self.open.values().map(|(_, question)| question);
        let smallest = questions
            .clone()
            .map(|question| question.need.tokens)
            .min()?;
        Some((questions.map(|question| question.wanted).sum(), smallest))
    }

    /// Returns whether there is no question.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

//! Rule 2: no effect happens twice.

use std::collections::BTreeMap;

use crate::{Rule, Verdict};

/// Counts how often each effect was applied.
#[derive(Default)]
pub(crate) struct EffectChecker<'a> {
    counts: BTreeMap<&'a str, u32>,
}

impl<'a> EffectChecker<'a> {
    pub(crate) fn applied(&mut self, at_ms: f64, effect: &'a str, verdict: &mut Verdict) {
        let count = self.counts.entry(effect).or_default();
        *count += 1;
        if *count > 1 {
            let description = format!("effect {effect} was applied {count} times");
            verdict.add_violation(Rule::NoDoubleEffect, at_ms, description);
        }
    }
}

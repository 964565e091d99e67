//! One checker for each rule, which is passed the events that concern its rule and adds violations to the verdict.

mod answers;
mod effects;
mod purges;
mod slow_start;
mod withdrawals;

pub(crate) use answers::AnswerChecker;
pub(crate) use effects::EffectChecker;
pub(crate) use purges::PurgeChecker;
pub(crate) use slow_start::SlowStartChecker;
pub(crate) use withdrawals::WithdrawalChecker;

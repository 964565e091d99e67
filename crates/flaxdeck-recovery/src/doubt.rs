//! A whole list that came in place of what should have followed may be older than what is known here: a coordinator
//! that was put back from a backup lists a host in service that it had withdrawn since. Nobody can tell such a list
//! from one of a coordinator that only lost its numbers, so what is known to be withdrawn stays so until a fact says
//! otherwise: a later event that names the host, or another start of it.

use std::collections::BTreeMap;

use flaxdeck::words::{HostId, Listed, Span, Standing, Time};

use crate::numbering::Doubt;

/// A host whose withdrawal is doubted and that nobody has named since is used again after so long. It weighs a drain
/// that was forgotten against a place lost for good: a host that drains has ended well before that by any promised
/// time, and one still listed then is served by whoever restored the coordinator.
const LASTS: Span = Span::from_ms(60_000);

/// What is known of hosts by events of a numbering that is no more.
#[derive(Default)]
pub struct Doubted {
    /// The standing that each host had, by the start it had then, and until when that counts.
    held: BTreeMap<HostId, (Listed, Time)>,
}

impl Doubted {
    /// Takes a whole list that replaces what was known; gives it back with what is doubted withdrawn, and how many
    /// hosts that are.
    pub fn adopt(
        &mut self,
        now: Time,
        known: &BTreeMap<HostId, Listed>,
        mut list: Vec<Listed>,
    ) -> (Vec<Listed>, usize) {
        self.held.clear();
        let withdrawn = |line: &&mut Listed| line.standing == Standing::InService;
        for line in list.iter_mut().filter(withdrawn) {
            let Some(before) = known.get(&line.host) else { continue };
            if before.standing != Standing::InService && !started_later(line, before) {
                line.standing = before.standing;
                self.held.insert(line.host.clone(), (line.clone(), now + LASTS));
            }
        }
        (list, self.held.len())
    }

    /// An event of the new numbering names these: nothing of them is doubted any more.
    pub fn named<'a>(&mut self, hosts: impl IntoIterator<Item = &'a HostId>) {
        hosts.into_iter().for_each(|host| drop(self.held.remove(host)));
    }

    /// Hosts whose doubt has run out, as the new list had them.
    pub fn run_out(&mut self, now: Time) -> Vec<Listed> {
        let (out, held) =
            std::mem::take(&mut self.held).into_iter().partition(|(_, (_, until))| *until <= now);
        self.held = held;
        let out: BTreeMap<HostId, (Listed, Time)> = out;
        out.into_values().map(|(line, _)| Listed { standing: Standing::InService, ..line }).collect()
    }

    /// When that is next.
    pub fn next(&self) -> Option<Time> {
        self.held.values().map(|(_, until)| *until).min()
    }
}

fn started_later(line: &Listed, before: &Listed) -> bool {
    line.started > before.started
}

/// The moment from before which no copy may be given, as a purge may have been lost since; none if nothing can have
/// been. Hosts drop by themselves what was purged `settles` ago, so only the time after counts, and a link that was
/// heard to its end has told all that there was.
pub fn copies_from(now: Time, doubt: Doubt, settles: Span) -> Option<Time> {
    let since = doubt.since?;
    (!doubt.heard_to_the_end && now.since(since) > Span::ZERO).then_some(if now.since(since) > settles {
        now - settles
    } else {
        since
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use flaxdeck::words::{CellId, Role};

    fn at(ms: u64) -> Time {
        Time::at_ms(100_000.0 + ms as f64)
    }

    fn line(name: &str, standing: Standing, started: Option<u64>) -> Listed {
        let started = started.map(|ms| Time::at_ms(ms as f64));
        let (host, cell) = (HostId(name.into()), CellId(0));
        Listed { host, weight: 1.0, zone: None, cell, role: Role::Cache, standing, started }
    }

    fn known(lines: &[Listed]) -> BTreeMap<HostId, Listed> {
        lines.iter().map(|line| (line.host.clone(), line.clone())).collect()
    }

    use Standing::{Draining, Gone, InService};

    #[test]
    fn a_list_put_back_does_not_bring_a_withdrawn_host_into_service() {
        let before =
            known(&[line("a", Draining, None), line("b", Gone, Some(5)), line("c", InService, None)]);
        let list =
            vec![line("a", InService, None), line("b", InService, Some(9)), line("c", InService, None)];
        let mut doubted = Doubted::default();
        let (list, count) = doubted.adopt(at(0), &before, list);
        let standings: Vec<Standing> = list.iter().map(|line| line.standing).collect();
        assert_eq!((standings, count), (vec![Draining, InService, InService], 1), "b has started since");
    }

    #[test]
    fn a_later_event_ends_the_doubt_and_so_does_time() {
        let before = known(&[line("a", Draining, None), line("b", Draining, None)]);
        let list = || vec![line("a", InService, None), line("b", InService, None)];
        let mut doubted = Doubted::default();
        doubted.adopt(at(0), &before, list());
        doubted.named([&HostId("a".into())]);
        assert_eq!(doubted.run_out(at(59_999)).len(), 0);
        assert_eq!(doubted.next(), Some(at(60_000)));
        let out = doubted.run_out(at(60_000));
        assert_eq!((&*out[0].host.0, out[0].standing, out.len()), ("b", InService, 1));
        assert_eq!(doubted.next(), None);
    }

    #[test]
    fn copies_are_doubted_only_for_what_may_have_been_missed() {
        let settles = Span::from_ms(6_000);
        let doubt = |since, heard_to_the_end| Doubt { since, heard_to_the_end };
        assert_eq!(copies_from(at(100), doubt(Some(at(0)), true), settles), None);
        assert_eq!(copies_from(at(100), doubt(None, false), settles), None, "nothing was known before");
        assert_eq!(copies_from(at(100), doubt(Some(at(0)), false), settles), Some(at(0)));
        // What was purged earlier hosts have dropped by themselves.
        assert_eq!(copies_from(at(9_000), doubt(Some(at(0)), false), settles), Some(at(3_000)));
    }
}

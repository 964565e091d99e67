//! A whole list that came in place of what should have followed may be older than what is known here: a coordinator
//! that was put back from a backup lists a host in service that it had withdrawn since. Nobody can tell such a list
//! from one of a coordinator that only lost its numbers, so what is known to be withdrawn stays so until a fact says
//! otherwise: a later event that names the host, or another start of it.

use std::collections::BTreeMap;

use flaxdeck::{Endpoint, Health, HostId, Span, Time};

use crate::numbering::MissedPeriod;

/// A host whose withdrawal is doubted and that nobody has named since is used again after so long. It weighs a drain
/// that was forgotten against a place lost for good: a host that drains has ended well before that by any promised
/// time, and one still listed then is served by whoever restored the coordinator.
const LASTS: Span = Span::from_ms(60_000);

/// What is known of hosts by events of a numbering that is no more.
#[derive(Default)]
pub struct UnconfirmedEndpoints {
    /// The health that each host had, by the start it had then, and until when that counts.
    held: BTreeMap<HostId, (Endpoint, Time)>,
}

impl UnconfirmedEndpoints {
    /// Takes a whole list that replaces what was known; gives it back with what is doubted withdrawn, and how many
    /// hosts that are.
    pub fn adopt(
        &mut self,
        now: Time,
        known: &BTreeMap<HostId, Endpoint>,
        mut list: Vec<Endpoint>,
    ) -> (Vec<Endpoint>, usize) {
        self.held.clear();
        let withdrawn = |line: &&mut Endpoint| line.health == Health::InService;
        for line in list.iter_mut().filter(withdrawn) {
            let Some(before) = known.get(&line.host) else {
                continue;
            };
            if before.health != Health::InService && !started_later(line, before) {
                line.health = before.health;
                self.held
                    .insert(line.host.clone(), (line.clone(), now + LASTS));
            }
        }
        (list, self.held.len())
    }

    /// An event of the new numbering names these: nothing of them is doubted any more.
    pub fn named<'a>(&mut self, hosts: impl IntoIterator<Item = &'a HostId>) {
        hosts
            .into_iter()
            .for_each(|host| drop(self.held.remove(host)));
    }

    /// Hosts whose doubt has run out, as the new list had them.
    pub fn run_out(&mut self, now: Time) -> Vec<Endpoint> {
        let (out, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|(_, (_, until))| *until <= now);
        self.held = held;
        let out: BTreeMap<HostId, (Endpoint, Time)> = out;
        out.into_values()
            .map(|(line, _)| Endpoint {
                health: Health::InService,
                ..line
            })
            .collect()
    }

    /// When that is next.
    pub fn next(&self) -> Option<Time> {
        self.held.values().map(|(_, until)| *until).min()
    }
}

fn started_later(line: &Endpoint, before: &Endpoint) -> bool {
    line.started > before.started
}

/// The moment from before which no copy may be given, as a purge may have been lost since; none if nothing can have
/// been. Hosts drop by themselves what was purged `settles` ago, so only the time after counts, and a link that was
/// heard to its end has told all that there was.
pub fn copies_from(now: Time, doubt: MissedPeriod, settles: Span) -> Option<Time> {
    let since = doubt.since?;
    (!doubt.heard_to_the_end && now.since(since) > Span::ZERO).then_some(
        if now.since(since) > settles {
            now - settles
        } else {
            since
        },
    )
}

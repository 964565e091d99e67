//! The coordinator's events are numbered, and a number alone says little: a coordinator that restarted, or was put
//! back from a backup, gives the same numbers to other events. So each link asks from one before the last event that
//! is known, and what comes first has to be that event, to the hash. It comes at once, which also tells an instance
//! that starts that it is current, long before the coordinator's next empty frame.

use std::collections::BTreeMap;

use flaxdeck::{Span, Time};
use serde::{Deserialize, Serialize};

/// With nothing more for so long after what followed, all that the coordinator has is taken to have come. Its protocol
/// has no end mark but the empty frame a second later; a burst that stalls for longer than this is taken for two.
const SETTLES: Span = Span::from_ms(30);

/// The last event known is sent at once if it is there at all: with nothing after a slow trip and a burst before it, the
/// coordinator lacks it, and would say so only by its empty frame a second later. The same holds for what others brought
/// first: on a link that is whole it comes as well.
const PROVES: Span = Span::from_ms(500);
/// For how long the last events are remembered, against which a link's are held: longer than a link takes to come up
/// and to prove its numbering, at any rate of events.
const REMEMBERED: Span = Span::from_ms(5_000);
/// How many are remembered at least, however old: a coordinator that was put back may tell them once more.
const MIN_REMEMBERED: usize = 256;
/// And how many at most. A link that is held against one beyond them asks for everything, with copies in doubt.
pub const MAX_REMEMBERED: usize = 65_536;
/// How long nothing is taken from others after the coordinator contradicted what they brought. They follow what was,
/// until they find out themselves: their own link is silent or proven anew within that time.
const DISTRUSTS: Span = Span::from_ms(2_500);

/// An event by its number and a hash of what it tells; without events both are zero.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EventPosition {
    pub number: u64,
    pub hash: u64,
}

impl EventPosition {
    pub const NONE: EventPosition = EventPosition { number: 0, hash: 0 };
}

/// What may have been told to nobody here: all since then, until it is applied that the numbering is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissedPeriod {
    /// When the old numbering was last known to be whole here; none if it never was.
    pub since: Option<Time>,
    /// The link was whole up to its end, so that nothing that was told before is missing.
    pub heard_to_the_end: bool,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It follows what is known.
    Apply,
    /// It is known already.
    Skip,
    /// A whole list, in place of all that is known; with a doubt if that was more than a file's.
    Adopt(Option<MissedPeriod>),
    /// It can't follow: end the link and ask again.
    AskAgain(Why),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Another event bears the number of the last one known.
    OtherEvent,
    /// Something is missing in between.
    Gap,
    /// The coordinator has nothing where the last one known should be.
    Nothing,
    /// Changes came where the whole list should be.
    NoList,
}

struct Link {
    asked: u64,
    proven: bool,
    /// When something last came on it.
    heard: Time,
    /// Nothing that follows has come on it yet.
    new: bool,
}

/// An event that was applied.
#[derive(Clone, Copy)]
struct Applied {
    hash: u64,
    /// When it was applied, and once another has followed, when that was: a link asks for the last one.
    at: Time,
}

/// What is known of the coordinator's numbering.
pub struct Numbering {
    last: EventPosition,
    link: Option<Link>,
    /// The next link asks for everything.
    from_the_start: bool,
    /// Something of it was proven in this run: before, all is a file's.
    sure: Option<Time>,
    /// The last proven link ended by its end, not by silence.
    ended_whole: bool,
    /// The last link ended by silence: until something comes, the coordinator may only be hanging.
    silent: bool,
    /// A number always means the same event, as the platform's page has it: nothing needs to be proven.
    trusts: bool,
    /// The last events as applied, whoever brought them.
    applied: BTreeMap<u64, Applied>,
    distrusts_until: Time,
    /// The first event that others brought and the link has not, and since when.
    unechoed: Option<(u64, Time)>,
}

impl Numbering {
    /// One that has the numbering proven on each link.
    pub fn new(last: EventPosition) -> Numbering {
        let (link, from_the_start, sure, ended_whole) = (None, false, None, false);
        let applied = Applied {
            hash: last.hash,
            at: Time::default(),
        };
        let (applied, distrusts_until) =
            (BTreeMap::from([(last.number, applied)]), Time::default());
        let (trusts, unechoed, silent) = (false, None, false);
        Numbering {
            last,
            link,
            from_the_start,
            sure,
            ended_whole,
            silent,
            trusts,
            applied,
            distrusts_until,
            unechoed,
        }
    }

    /// One that believes the numbers, and applies what is above the last.
    pub fn trusting(last: EventPosition) -> Numbering {
        Numbering {
            trusts: true,
            ..Numbering::new(last)
        }
    }

    /// What was kept goes further than what the instance was started with; it has to be proven like that.
    pub fn begin_at(&mut self, now: Time, last: EventPosition) {
        *self = Numbering {
            trusts: self.trusts,
            sure: Some(now),
            ..Numbering::new(last)
        };
    }

    pub fn last(&self) -> EventPosition {
        self.last
    }

    /// When the numbering was last known to be whole here.
    pub fn sure(&self) -> Option<Time> {
        self.sure
    }

    /// A link has come up: the number to name on it.
    pub fn ask(&mut self, now: Time) -> u64 {
        let asked = match (self.trusts, self.from_the_start) {
            (true, _) => self.last.number,
            (_, true) => 0,
            _ => self.last.number.saturating_sub(1),
        };
        self.link = Some(Link {
            asked,
            proven: self.trusts,
            heard: now,
            new: true,
        });
        self.unechoed = None;
        asked
    }

    /// The link has ended, by the other side's end or by a silence.
    pub fn ended(&mut self, by_silence: bool) {
        self.silent = by_silence;
        if self.link.take().is_some_and(|link| link.proven) {
            self.ended_whole = !by_silence;
        }
    }

    /// An event has come on the link.
    pub fn heard(&mut self, now: Time, mark: EventPosition, whole: bool) -> Next {
        let Some(link) = &mut self.link else {
            return Next::Skip;
        };
        link.heard = now;
        self.silent = false;
        let next = if link.proven {
            self.on_proven(now, mark)
        } else {
            self.on_first(now, mark, whole)
        };
        match next {
            Next::Apply => self.applies(now, mark),
            Next::Adopt(doubt) => {
                // Others follow what was until they find out as well.
                self.distrusts_until = doubt.map_or(self.distrusts_until, |_| now + DISTRUSTS);
                self.applied.clear();
                self.applies(now, mark);
            }
            Next::AskAgain(_) => self.link = None,
            Next::Skip => {}
        }
        if self.link.as_ref().is_some_and(|link| link.proven) {
            self.sure = Some(now);
        }
        next
    }

    fn applies(&mut self, now: Time, mark: EventPosition) {
        if let Some(before) = self.applied.get_mut(&self.last.number) {
            before.at = now;
        }
        self.last = mark;
        self.applied.insert(
            mark.number,
            Applied {
                hash: mark.hash,
                at: now,
            },
        );
        while self.forgets_first(now) {
            self.applied.pop_first();
        }
    }

    fn forgets_first(&self, now: Time) -> bool {
        let first = self.applied.first_key_value();
        let old = first.is_some_and(|(_, applied)| now.since(applied.at) > REMEMBERED);
        (old && self.applied.len() > MIN_REMEMBERED) || self.applied.len() > MAX_REMEMBERED
    }

    /// Whether another event than this was applied under its number; none if that is not remembered.
    fn is_other(&self, mark: EventPosition) -> Option<bool> {
        self.applied
            .get(&mark.number)
            .map(|applied| applied.hash != mark.hash)
    }

    fn on_proven(&mut self, now: Time, mark: EventPosition) -> Next {
        let Some(link) = &mut self.link else {
            return Next::Skip;
        };
        match mark.number {
            // Somebody else brought it first, or brought what was meant to follow before the coordinator was put back.
            number if number <= self.last.number => {
                let other = !self.trusts && self.is_other(mark) == Some(true);
                if !other {
                    let echoed = self.unechoed.is_some_and(|(first, _)| number >= first);
                    if echoed {
                        self.unechoed = (number < self.last.number).then_some((number + 1, now));
                    }
                    return Next::Skip;
                }
                (self.from_the_start, self.distrusts_until) = (true, now + DISTRUSTS);
                return Next::AskAgain(Why::OtherEvent);
            }
            number if number == self.last.number + 1 => {}
            // A gap right after asking is all that the coordinator has, if it was asked for all or is trusted.
            _ if link.new && (self.trusts || link.asked == 0) => {}
            _ => {
                self.from_the_start = link.new;
                return Next::AskAgain(Why::Gap);
            }
        }
        link.new = false;
        Next::Apply
    }

    // The first event of a link proves the numbering, replaces it, or has all asked for.
    fn on_first(&mut self, now: Time, mark: EventPosition, whole: bool) -> Next {
        // Others may have brought more since the link asked. What it asked for proves the numbering all the same, and
        // what they brought beyond has to come on the link in its turn.
        let overtaken = mark.number < self.last.number && self.is_other(mark) == Some(false);
        let Some(link) = &mut self.link else {
            return Next::Skip;
        };
        if overtaken && !whole && link.asked > 0 {
            (link.proven, self.from_the_start) = (true, false);
            self.unechoed = Some((mark.number + 1, now));
            return Next::Skip;
        }
        if mark == self.last && (whole || link.asked > 0) {
            (link.proven, self.from_the_start) = (true, false);
            return Next::Skip;
        }
        if whole {
            (link.proven, self.from_the_start) = (true, false);
            let since = self.sure;
            let doubt = since.map(|_| MissedPeriod {
                since,
                heard_to_the_end: self.ended_whole,
            });
            return Next::Adopt(doubt);
        }
        if link.asked == 0 {
            return Next::AskAgain(Why::NoList);
        }
        self.from_the_start = true;
        let why = if mark.number == self.last.number {
            Why::OtherEvent
        } else {
            Why::Gap
        };
        Next::AskAgain(why)
    }

    /// When a link that has brought nothing by then lacks what was asked for, or what others have brought. After a link
    /// that fell silent no such time is known: a coordinator that hangs takes connections too, and brings nothing on
    /// any. There its empty frame has to say so.
    pub fn proves_by(&self) -> Option<Time> {
        let link = self.link.as_ref()?;
        let unproven = || Some(link.heard).filter(|_| !self.silent);
        let since = if link.proven {
            self.unechoed.map(|(_, since)| since)
        } else {
            unproven()
        };
        since.map(|since| since + PROVES)
    }

    /// That time has come.
    pub fn overdue(&mut self, now: Time) -> Next {
        if self.link.as_ref().is_some_and(|link| link.proven) {
            // It may only be slow, or dead: asked anew, it shows whether it knows that event.
            self.link = None;
            return Next::AskAgain(Why::Nothing);
        }
        self.alive(now)
    }

    /// An empty frame has come. On a link that has proven nothing it says that the coordinator lacks the last event
    /// known: the link has to be ended.
    pub fn alive(&mut self, now: Time) -> Next {
        let Some(link) = &mut self.link else {
            return Next::Skip;
        };
        link.heard = now;
        self.silent = false;
        if link.proven {
            self.sure = Some(now);
            return Next::Skip;
        }
        // Asked for everything and given nothing, it has no list yet; asking again soon would not help either.
        self.from_the_start = true;
        self.link = None;
        Next::AskAgain(Why::Nothing)
    }

    /// A later configuration tells an event: whether it is to be applied. One whose numbering has to be proven takes
    /// none, as the file may have been written under another.
    pub fn told_by_file(&mut self, mark: EventPosition) -> bool {
        let taken = self.trusts && mark.number > self.last.number;
        if taken {
            self.last = mark;
        }
        taken
    }

    /// Somebody who knows the same numbering brought the event that follows.
    pub fn relayed(&mut self, now: Time, after: EventPosition, mark: EventPosition) -> bool {
        let follows =
            after == self.last && mark.number == after.number + 1 && now >= self.distrusts_until;
        if follows {
            self.applies(now, mark);
            self.sure = Some(now); // no more a file's: who passed it on follows the coordinator
            if self.link.as_ref().is_some_and(|link| link.proven) && !self.trusts {
                self.unechoed.get_or_insert((mark.number, now));
            }
        }
        follows
    }

    /// Whether what others bring may be taken: they may follow what was before the coordinator contradicted it.
    pub fn trusts_others(&self, now: Time) -> bool {
        now >= self.distrusts_until
    }

    /// All events between the last one and another have been brought by somebody who knows the same numbering, and who
    /// had all that the coordinator had at the time `whole_at`. False if they don't follow the last one, or come too
    /// soon after the coordinator contradicted what others brought.
    pub fn moved_on(
        &mut self,
        now: Time,
        after: EventPosition,
        upto: EventPosition,
        whole_at: Option<Time>,
    ) -> bool {
        let follows = after == self.last && upto.number >= after.number && self.trusts_others(now);
        if follows && upto != after {
            self.applies(now, upto);
        }
        if follows {
            self.sure = self.sure.max(whole_at);
        }
        follows
    }

    /// A whole list brought by somebody else has taken the place of all that was known.
    pub fn replaced_by(&mut self, now: Time, upto: EventPosition) {
        self.applied.clear();
        self.applies(now, upto);
        self.sure = Some(now);
        (self.link, self.from_the_start) = (None, false);
    }

    /// Whether the link has proven that its numbers mean here what they mean there.
    pub fn is_proven(&self) -> bool {
        self.link.as_ref().is_some_and(|link| link.proven)
    }

    /// Whether all that the coordinator has told has come, as far as can be seen.
    pub fn current(&self, now: Time) -> bool {
        self.link
            .as_ref()
            .is_some_and(|link| link.proven && now.since(link.heard) >= SETTLES)
    }

    /// When that will be if nothing more comes; none on a link that has proven nothing.
    pub fn current_at(&self) -> Option<Time> {
        self.link
            .as_ref()
            .filter(|link| link.proven)
            .map(|link| link.heard + SETTLES)
    }
}

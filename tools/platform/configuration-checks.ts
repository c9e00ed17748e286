/**
 * Checks of the operator's guarantees: an acknowledged version is in force in time, no machine goes back to an older one, a
 * race has one winner, nothing invalid is accepted, and what is read back is what was sent.
 */
import type { Recording } from './recording.js';
import { RouteBook } from './route-book.js';
import { Verdict } from './verdict.js';

/** The checks of configurations. */
export type ConfigurationChecks = Readonly<
  Record<'applied' | 'back' | 'race' | 'again' | 'invalid' | 'inForce' | 'readBack', Verdict.Check>
>;

type Seen = {
  readonly at: number;
  readonly sent: Recording.Sent;
  readonly from: number;
  readonly to: number;
};

/** For each request whose handling tells: the first and the last version under which it may be handled so. */
const handlings = (recording: Recording): readonly Seen[] => {
  const book = RouteBook.of(recording);
  const tries = Verdict.tries(recording);
  const tell = (sent: Recording.Sent, at: number, versions: readonly RouteBook.Version[]): Seen[] => {
    const numbers = versions.map((version) => version.revision);
    return numbers.length === 0 ? [] : [{ at, sent, from: Math.min(...numbers), to: Math.max(...numbers) }];
  };
  const ran = Verdict.arrivals(recording).flatMap((one) => {
    const sent = tries.get(one.attempt);
    return sent
      ? tell(sent, one.at, book.allowing(one.host, one.path, one.service).filter(book.mayBeInForce))
      : [];
  });
  const unknown = recording.ended
    .filter((ended) => ended.status === 404)
    .flatMap((ended) => {
      const sent = tries.get(ended.attempt);
      return sent ? tell(sent, ended.at, book.lacking(sent.host, sent.path)) : [];
    });
  return [...ran, ...unknown].sort((a, b) => a.at - b.at);
};

const ackedOf = (recording: Recording): readonly RouteBook.Version[] =>
  RouteBook.of(recording).versions.filter((version) => version.acked !== undefined);

/** The checks of configurations, by name. */
export const ConfigurationChecks: ConfigurationChecks = {
  applied(recording, bounds) {
    const acked = ackedOf(recording);
    const told = handlings(recording).flatMap((seen) => {
      const due = acked.filter((version) => version.acked! + bounds.configApply < seen.sent.at);
      return due.length === 0 ? [] : [{ seen, due: Math.max(...due.map((version) => version.revision)) }];
    });
    return {
      occasions: told.length,
      breaches: told
        .filter(({ seen, due }) => seen.to < due)
        .map(
          ({ seen, due }) =>
            `${seen.sent.attempt} handled by ${seen.sent.front} as of ${seen.to}; ${due} was due`,
        ),
    };
  },
  back(recording, bounds) {
    let occasions = 0;
    const breaches: string[] = [];
    for (const [front, group] of Verdict.groupBy(handlings(recording), (seen) => seen.sent.front)) {
      const starts = recording.lives.filter((life) => life.front === front).map((life) => life.at);
      const lifeAt = (at: number) => starts.filter((start) => start <= at).length;
      for (const seen of group) {
        const earlier = group.filter(
          (other) => other.at + bounds.revertSlack < seen.sent.at && lifeAt(other.at) === lifeAt(seen.at),
        );
        if (earlier.length === 0) continue;
        occasions += 1;
        const newest = Math.max(...earlier.map((other) => other.from));
        if (seen.to < newest)
          breaches.push(`${front}: ${seen.sent.attempt} as of ${seen.to} after ${newest}`);
      }
    }
    return { occasions, breaches };
  },
  race(recording) {
    const byBase = Verdict.groupBy(ackedOf(recording), (version) => String(version.base));
    const breaches = [...byBase].flatMap(([base, versions]) => {
      const different = new Set(versions.map((version) => version.digest));
      return different.size > 1 ? [`${different.size} changes on top of ${base} were acknowledged`] : [];
    });
    return { occasions: byBase.size, breaches };
  },
  again(recording) {
    const { versions } = RouteBook.of(recording);
    const repeats = ackedOf(recording).flatMap((first) =>
      versions.filter((other) => {
        const isSame =
          other.revision === first.revision && other.base === first.base && other.digest === first.digest;
        const isSuperseded = versions.some(
          ({ acked, revision }) => acked !== undefined && revision > first.revision && acked < other.sent,
        );
        return isSame && other.sent > first.acked! && !isSuperseded;
      }),
    );
    return {
      occasions: repeats.length,
      breaches: repeats
        .filter(({ status }) => status >= 400 && status < 500)
        .map(
          ({ revision, status }) => `${revision}, acknowledged before, got ${status} when it was sent again`,
        ),
    };
  },
  invalid(recording) {
    const invalid = RouteBook.of(recording).versions.filter((version) => !version.isValid);
    return {
      occasions: invalid.length,
      breaches: invalid
        .filter((version) => version.acked !== undefined)
        .map((version) => `${version.revision}, invalid, was acknowledged`),
    };
  },
  inForce(recording) {
    const book = RouteBook.of(recording);
    const refused = book.versions.filter((version) => !book.mayBeInForce(version));
    const told = refused.length > 0 ? Verdict.arrivals(recording) : [];
    return {
      occasions: told.length,
      breaches: told
        .filter((one) => {
          const allowing = book.allowing(one.host, one.path, one.service);
          return allowing.length > 0 && !allowing.some(book.mayBeInForce);
        })
        .map((one) => `${one.attempt} ran at ${one.service}, as only a refused version says`),
    };
  },
  readBack(recording) {
    const { versions } = RouteBook.of(recording);
    const reads = recording.orders.flatMap((order) => (order.kind === 'read' ? [order] : []));
    const breaches = reads.flatMap((read) => {
      const due = versions.filter((one) => one.acked !== undefined && one.acked < read.sent);
      const newest = Math.max(0, ...due.map((one) => one.revision));
      if (read.acked === undefined) return [`nothing came (${read.status}); ${newest} was due`];
      if (read.revision < newest) return [`${read.revision} came; ${newest} was due`];
      const isSent = versions.some((one) => one.revision === read.revision && one.digest === read.digest);
      return isSent ? [] : [`${read.revision} came other than it was sent`];
    });
    return { occasions: reads.length, breaches };
  },
};

// What one run of the model may do at most, and the rules that it may break on purpose. The bounds keep the
// states finite; the planted rules are switches of the model alone and show that each invariant can be violated.

/** How often each kind of event may happen in one run, and how many machines there are. */
export type Bounds = {
  /** How many disks may be lost at once; the cores are twice as many and one more. */
  readonly losses: number;
  /** Empty machines beside the cores of the first term. */
  readonly spares: number;
  /** Changes that operators send, each by its own operator. */
  readonly changes: number;
  /** Whether each change names the one before as its base; else all name the first state. */
  readonly isChain: boolean;
  /** Attempts to take over, also those that only raise the floor. */
  readonly claims: number;
  /** Changes of the register that a primary proposes. */
  readonly alters: number;
  /** Ends of a process whose disk stays. */
  readonly restarts: number;
  /**
   * Ends of a process with its disk. At most `losses` cores of the newest chosen term lack theirs at once; where
   * cores may form anew, more may, but for one core in sync that holds all that was acknowledged.
   */
  readonly wipes: number;
  /** Replacements of a core by an empty one. */
  readonly joins: number;
  /** Formings from the votes of all that answer. */
  readonly formings: number;
  /** Whole states held up on their way and delivered at any later time. */
  readonly late: number;
  /** Promises given to a ballot whose proposer does not count them. */
  readonly strays: number;
};

/** The names of the rules that can be broken on purpose. */
export type Plant =
  | 'answer-without-majority'
  | 'refusal-under-a-later-term'
  | 'floor-not-raised'
  | 'floor-lost-at-restart'
  | 'take-over-forgotten-by-its-disk'
  | 'member-before-it-caught-up'
  | 'backup-not-waited-for'
  | 'membership-by-the-majority-after'
  | 'empty-disk-votes'
  | 'in-sync-shrunk'
  | 'unsure-acknowledged'
  | 'late-whole-state-taken'
  | 'newest-term-by-epoch'
  | 'formed-over-a-silent-core'
  | 'formed-by-empty-cores-alone';

export const Bounds = {
  /** The bounds of the offline run: three cores, a spare, two operators that race for one base. */
  usual: {
    losses: 1,
    spares: 1,
    changes: 2,
    isChain: false,
    claims: 2,
    alters: 2,
    restarts: 1,
    wipes: 2,
    joins: 1,
    formings: 1,
    late: 1,
    strays: 1,
  } satisfies Bounds as Bounds,
  /** Nothing but what is named. */
  of: (given: Partial<Bounds>): Bounds => ({
    losses: 1,
    spares: 0,
    changes: 1,
    isChain: false,
    claims: 0,
    alters: 0,
    restarts: 0,
    wipes: 0,
    joins: 0,
    formings: 0,
    late: 0,
    strays: 0,
    ...given,
  }),
};

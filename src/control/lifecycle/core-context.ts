// What the parts of a core's life share: its place among the others, and what it knows of them.

import type { StateMachine } from '../../common/state-machine.js';
import type { Proposer } from '../../epoch/proposer.js';
import type { Register } from '../../epoch/register.js';
import type { Vote } from '../../epoch/vote.js';
import type { View } from '../../manifest/view.js';
import type { Primary } from '../../replica/primary.js';
import type { TransferMeter } from '../../replica/transfer-meter.js';
import type { Store } from '../../store/store.js';
import type { Frame } from '../../wire/frame.js';
import type { PeerClient } from '../../wire/peer-client.js';
import type { KnownTerm } from './known-term.js';

export type CoreContext = {
  readonly options: CoreContext.Options;
  readonly phase: StateMachine<CoreContext.State>;
  readonly knownTerm: KnownTerm;
  /** The votes that came last. */
  votes: readonly Vote[];
  /** What this core does as primary, while it is one. */
  primary: Primary | undefined;
  /** Whether the primary has asked the cores in sync to take over. */
  isAskedToTakeOver: boolean;
  /** Whether this process is about to end: it takes no office any more. */
  isLeaving: boolean;
  /** Asks all others for their votes. */
  readonly collectVotes: () => Promise<void>;
  /** Lets the next step come at once. */
  readonly wake: () => void;
};

export declare namespace CoreContext {
  type State = 'blank' | 'following' | 'leading' | 'stopped';
  type Options = {
    readonly register: Register;
    readonly store: Store;
    readonly losses: number;
    readonly isInitial: boolean;
    readonly seeds: readonly string[];
    readonly proposer: Proposer;
    readonly self: () => Frame.Core;
    readonly clientFor: (core: Frame.Core) => PeerClient | undefined;
    readonly connectTo: (places: readonly string[]) => void;
    readonly addresses: () => readonly string[];
    readonly offeredView: () => View;
    readonly quietFor: () => number;
    readonly markRetired: () => Promise<void>;
    readonly publish: (view: View) => void;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
    readonly alert: (text: string, facts?: Record<string, unknown>) => void;
    /** Counts what goes between cores, for the metrics. */
    readonly transfers?: TransferMeter;
  };
}

/** What the states of a core share: its dependencies, its state machine, and what it knows of the other cores. */

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

/** Shared by all states of one core. */
export type CoreContext = {
  /** What the core is made of. */
  readonly options: CoreContext.Options;
  /** The state machine of the core. */
  readonly phase: StateMachine<CoreContext.State>;
  /** The newest term that the core knows. */
  readonly knownTerm: KnownTerm;
  /** The votes of the last round. */
  votes: readonly Vote[];
  /** The primary that runs here, while this core leads. */
  primary: Primary | undefined;
  /** Whether the primary has asked the in-sync cores to take over. */
  isAskedToTakeOver: boolean;
  /** Whether this process is shutting down: it no longer takes over or joins. */
  isLeaving: boolean;
  /** Collects the votes of all other cores. */
  readonly collectVotes: () => Promise<void>;
  /** Runs the next step at once. */
  readonly wake: () => void;
};

/** States and dependencies of a core. */
export declare namespace CoreContext {
  type State = 'blank' | 'following' | 'leading' | 'stopped';
  type Options = {
    readonly register: Register;
    readonly store: Store;
    /** How many cores may be lost at once. */
    readonly losses: number;
    /** Whether this is the first start of the whole deployment. */
    readonly isInitial: boolean;
    readonly seeds: readonly string[];
    readonly proposer: Proposer;
    readonly self: () => Frame.Core;
    readonly clientFor: (core: Frame.Core) => PeerClient | undefined;
    readonly connectTo: (addresses: readonly string[]) => void;
    /** Addresses of cores besides those of the known term. */
    readonly addresses: () => readonly string[];
    /** The newest view that nodes have offered. */
    readonly offeredView: () => View;
    /** Milliseconds since a node last joined the roll. */
    readonly quietFor: () => number;
    /** Marks the data folder, so that the next start moves its files aside. */
    readonly markRetired: () => Promise<void>;
    readonly publish: (view: View) => void;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
    readonly alert: (text: string, facts?: Record<string, unknown>) => void;
    /** Counts the bytes transferred between cores, for the metrics. */
    readonly transfers?: TransferMeter;
  };
}

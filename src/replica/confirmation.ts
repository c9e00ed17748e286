/**
 * Confirms that a majority of the cores still accepts the primary's term: periodically, and before every answer. The
 * age of a confirmation counts from the time at which it was requested.
 */

import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { Proposer } from '../epoch/proposer.js';
import type { Leadership } from './leadership.js';

/** Confirmation of the term by a majority. */
export type Confirmation = {
  /** Asks the cores whether a majority confirms the term now. */
  readonly confirm: () => Promise<boolean>;
  /** When the newest successful confirmation was requested. */
  readonly confirmedAt: () => Instant;
};

const confirmIntervalMs = 200;

/** Starts the confirmation of a primary's term. */
export const Confirmation = {
  /** Requests a confirmation at once and then every 200 ms until the leadership ends. */
  start(leadership: Leadership, proposer: Proposer): Confirmation {
    let confirmedAt = Instant.past;
    const confirm = async (): Promise<boolean> => {
      const requestedAt = Instant.now();
      const isConfirmed = await proposer.confirm(leadership.term());
      if (isConfirmed && leadership.isLeading() && requestedAt > confirmedAt) confirmedAt = requestedAt;
      return isConfirmed;
    };
    const heartbeat = Timer.every(confirmIntervalMs, () => void confirm());
    void confirm();
    void leadership.deposed.then(heartbeat.stop);
    return { confirm, confirmedAt: () => confirmedAt };
  },
};

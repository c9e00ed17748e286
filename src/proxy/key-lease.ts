/**
 * The right of a proxy to accept API keys. Where the operator bounds the time after which a removed key must be refused by
 * every proxy, in touch or not, a proxy may accept keys only for that long after it certainly held the newest manifest.
 */
import { Instant } from '../common/instant.js';

/** Whether API keys may be accepted. */
export type KeyLease = {
  readonly isValid: () => boolean;
  /** How long it stays valid unless it is renewed, in milliseconds; infinite without a bound. */
  readonly remaining: () => number;
  /** Calls back when the lease has ended or is valid again since the last call. */
  readonly reportChange: () => void;
};

/** By how much the clocks of two machines may differ in speed, as a share of the time measured. */
const maxClockDrift = 0.02;

/** Creates key leases. */
export const KeyLease = {
  of(needs: {
    /** The longest time to the refusal of a removed key, in milliseconds; infinite if it is not bounded. */
    readonly within: () => number;
    /** Until when the manifest held was certainly the newest. */
    readonly verifiedAt: () => Instant;
    readonly onChange: (isValid: boolean) => void;
  }): KeyLease {
    let wasValid: boolean | undefined;
    const remaining = () => {
      const span = needs.within() * (1 - maxClockDrift);
      return span === Number.POSITIVE_INFINITY ? span : span - Instant.since(needs.verifiedAt());
    };
    const isValid = () => remaining() > 0;
    return {
      isValid,
      remaining,
      reportChange() {
        const isNowValid = isValid();
        if (wasValid !== undefined && wasValid !== isNowValid) needs.onChange(isNowValid);
        wasValid = isNowValid;
      },
    };
  },
};

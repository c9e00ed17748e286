/**
 * Timestamps on one end of a link. An end that wants to know how old the answers of the other end are tells with each frame
 * when it was sent; the other end echoes the newest such time in its pings. The receiver of an echo knows that the ping was
 * sent after that time on its own clock, however long it was in transit. The clocks of the two ends are never compared.
 */
import { Instant } from '../common/instant.js';
import type { Frame } from './frame.js';
import type { Link } from './link.js';

/** The timestamps of one end of a link. */
export type PingClock = {
  /** The time to send with a frame; 0 if no echo is wanted. */
  readonly sentAt: () => number;
  /** Adds to a ping what the other end needs to verify its age; other frames stay as they are. */
  readonly complete: (body: Frame.Body) => Frame.Body;
  /** Records the time of a received frame. */
  readonly record: (frame: Frame) => void;
};

/** Creates and reads timestamps. */
export const PingClock = {
  of({ verifiedAge, wantsEcho = false }: Pick<Link.Options, 'verifiedAge' | 'wantsEcho'>): PingClock {
    let echo = 0;
    return {
      sentAt: () => (wantsEcho ? Instant.now() : 0),
      complete(body) {
        if (body.kind !== 'ping' || verifiedAge === undefined) return body;
        const bound = verifiedAge();
        const isVerified = Number.isFinite(bound);
        return { ...body, echo, isVerified, verifiedAge: isVerified ? bound : 0 };
      },
      record({ sentAt }) {
        if (sentAt !== undefined) echo = sentAt;
      },
    };
  },
  /** A ping to another part of this process, which reads the same clock. */
  local(age: number, verifiedAt: Instant): Frame.Ping {
    const now = Instant.now();
    const isVerified = verifiedAt > Instant.past;
    return { kind: 'ping', age, echo: now, isVerified, verifiedAge: isVerified ? now - verifiedAt : 0 };
  },
  /**
   * Until when the view of the sender was certainly the newest, on the clock of the receiver; undefined if the ping does
   * not tell.
   */
  verifiedAt({ echo = 0, isVerified = false, verifiedAge = 0 }: Frame.Ping): Instant | undefined {
    return isVerified && echo > 0 ? Instant.after(-verifiedAge, echo as Instant) : undefined;
  },
};

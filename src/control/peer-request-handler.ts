/**
 * Handles the requests of other cores: votes on the register, changes to store as a backup, a primary that asks this
 * core to take over, a core that leaves, a blank core that asks to join. Each request is handled independently, so that
 * a slow disk delays no vote that does not need it.
 */

import { createHash } from 'node:crypto';
import { match } from 'ts-pattern';
import { Failure } from '../common/failure.js';
import type { Proposer } from '../epoch/proposer.js';
import type { Register } from '../epoch/register.js';
import type { Backup } from '../replica/backup.js';
import type { Frame } from '../wire/frame.js';
import type { Link } from '../wire/link.js';
import { Protocol } from '../wire/protocol.js';

/** Serves the requests that arrive over a link from another core. */
export type PeerRequestHandler = {
  readonly serve: (link: Link, frames: AsyncGenerator<Frame, void, void>) => Promise<void>;
};

/** What a handler is made of. */
export declare namespace PeerRequestHandler {
  type Options = {
    readonly register: Register;
    readonly proposer: Proposer;
    readonly backup: Backup;
    /** Handles the primary's request to take over; returns the reason if this core declines. */
    readonly onTakeoverRequest: () => string | undefined;
    /** Releases a core that is shutting down; resolves to the reason if it can't be released, else to an empty string. */
    readonly leave?: (core: Frame.Core, successor: Frame.Core | null) => Promise<string>;
    /** Gives a blank core a slot; resolves to the reason if it does not, else to an empty string. */
    readonly join: (core: Frame.Core) => Promise<string>;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

/** The fields left out of a reply whose digest the asking core already knows. */
const omittedFields = {
  promised: null,
  accepted: null,
  term: null,
  core: { disk: '', node: '', wire: '', http: '' },
};

const doneReply = (serial: number, why: string): Frame.Reply => ({
  kind: 'done',
  serial,
  isDone: why === '',
  why,
});

/** Creates the handler of a core. */
export const PeerRequestHandler = {
  of(options: PeerRequestHandler.Options): PeerRequestHandler {
    const { register, proposer } = options;
    const voteReply = (serial: number, isGranted: boolean): Frame.Reply => ({
      kind: 'vote',
      serial,
      ...proposer.vote(isGranted),
      protocol: Protocol.newest,
    });
    let lastDigest = { text: '', digest: '' };
    const digestOf = ({ promised, accepted, term, core }: Proposer.Vote): string => {
      const text = JSON.stringify([promised, accepted, term, core]);
      if (text !== lastDigest.text)
        lastDigest = { text, digest: createHash('sha256').update(text).digest('base64').slice(0, 16) };
      return lastDigest.digest;
    };
    const peekReply = (serial: number, known: string | undefined): Frame.Reply => {
      const whole = { ...proposer.vote(true), protocol: Protocol.newest };
      const digest = digestOf(whole);
      if (known !== digest) return { kind: 'vote', serial, ...whole, digest };
      const { isGranted, isBlank, highest, isAble, held, protocol } = whole;
      return {
        kind: 'vote',
        serial,
        isGranted,
        isBlank,
        highest,
        isAble,
        held,
        protocol,
        digest,
        isSame: true,
        ...omittedFields,
      };
    };
    const replyTo = (frame: Frame): Promise<Frame.Reply> =>
      match(frame)
        .with({ kind: 'peek' }, async ({ serial, known }) => peekReply(serial, known))
        .with({ kind: 'prepare' }, async ({ serial, ballot, isForming }) =>
          voteReply(serial, await register.prepare(ballot, isForming)),
        )
        .with({ kind: 'accept' }, async ({ serial, ballot, term, isChosen }) =>
          voteReply(serial, await register.accept(ballot, term, isChosen)),
        )
        .with({ kind: 'append' }, (append) => options.backup.handleAppend(append))
        .with({ kind: 'offer' }, (offer) => options.backup.handleOffer(offer))
        .with({ kind: 'piece' }, (piece) => options.backup.handlePiece(piece))
        .with({ kind: 'yield' }, async ({ serial }) => {
          return doneReply(serial, options.onTakeoverRequest() ?? '');
        })
        .with({ kind: 'leave' }, async ({ serial, core, successor }) =>
          doneReply(serial, (await options.leave?.(core, successor)) ?? 'this core releases none'),
        )
        .with({ kind: 'join' }, async ({ serial, core }) => doneReply(serial, await options.join(core)))
        .otherwise(({ kind }) => Promise.reject(Failure.of('frame', `unexpected ${kind} from a core`)));
    return {
      async serve(link, frames) {
        for await (const frame of frames) {
          if (frame.kind === 'ping') continue;
          replyTo(frame).then(
            (reply) => void link.send(reply),
            (error) => {
              options.note('core request failed', { kind: frame.kind, why: Failure.text(error) });
              if (Failure.is(error, 'frame')) link.close();
            },
          );
        }
      },
    };
  },
};

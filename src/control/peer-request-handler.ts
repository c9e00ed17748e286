// The core desk answers what other cores ask over their couriers: votes on the register, changes to
// keep as backup, a primary that yields, an empty core that asks to join. Each request is answered on
// its own, so that a slow disk holds up no vote it need not.
import { createHash } from 'node:crypto';
import { match } from 'ts-pattern';
import { Failure } from '../common/failure.js';
import type { Proposer } from '../epoch/proposer.js';
import type { Register } from '../epoch/register.js';
import type { Backup } from '../replica/backup.js';
import type { Frame } from '../wire/frame.js';
import type { Link } from '../wire/link.js';
import { Protocol } from '../wire/protocol.js';

export type PeerRequestHandler = {
  readonly serve: (link: Link, frames: AsyncGenerator<Frame, void, void>) => Promise<void>;
};

export declare namespace PeerRequestHandler {
  type Options = {
    readonly register: Register;
    readonly proposer: Proposer;
    readonly backup: Backup;
    /** The primary asks this core to take over; returns the reason where it will not. */
    readonly onTakeoverRequest: () => string | undefined;
    /** A core that is about to end asks for its release; resolves with the reason where it can't be released. */
    readonly leave?: (core: Frame.Core, successor: Frame.Core | null) => Promise<string>;
    readonly join: (core: Frame.Core) => Promise<string>;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

const untold = {
  promised: null,
  accepted: null,
  term: null,
  core: { disk: '', node: '', wire: '', http: '' },
};

const done = (serial: number, why: string): Frame.Reply => ({
  kind: 'done',
  serial,
  isDone: why === '',
  why,
});

export const PeerRequestHandler = {
  of(needs: PeerRequestHandler.Options): PeerRequestHandler {
    const { register, proposer } = needs;
    const vote = (serial: number, isGranted: boolean): Frame.Reply => ({
      kind: 'vote',
      serial,
      ...proposer.vote(isGranted),
      protocol: Protocol.newest,
    });
    let written = { text: '', digest: '' };
    const digestOf = ({ promised, accepted, term, core }: Proposer.Vote): string => {
      const text = JSON.stringify([promised, accepted, term, core]);
      if (text !== written.text)
        written = { text, digest: createHash('sha256').update(text).digest('base64').slice(0, 16) };
      return written.digest;
    };
    const peeked = (serial: number, known: string | undefined): Frame.Reply => {
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
        ...untold,
      };
    };
    const response = (frame: Frame): Promise<Frame.Reply> =>
      match(frame)
        .with({ kind: 'peek' }, async ({ serial, known }) => peeked(serial, known))
        .with({ kind: 'prepare' }, async ({ serial, ballot, isForming }) =>
          vote(serial, await register.prepare(ballot, isForming)),
        )
        .with({ kind: 'accept' }, async ({ serial, ballot, term, isChosen }) =>
          vote(serial, await register.accept(ballot, term, isChosen)),
        )
        .with({ kind: 'append' }, (append) => needs.backup.handleAppend(append))
        .with({ kind: 'offer' }, (offer) => needs.backup.handleOffer(offer))
        .with({ kind: 'piece' }, (piece) => needs.backup.handlePiece(piece))
        .with({ kind: 'yield' }, async ({ serial }) => {
          return done(serial, needs.onTakeoverRequest() ?? '');
        })
        .with({ kind: 'leave' }, async ({ serial, core, successor }) =>
          done(serial, (await needs.leave?.(core, successor)) ?? 'this core releases none'),
        )
        .with({ kind: 'join' }, async ({ serial, core }) => done(serial, await needs.join(core)))
        .otherwise(({ kind }) => Promise.reject(Failure.of('frame', `unexpected ${kind} at the core desk`)));
    return {
      async serve(link, frames) {
        for await (const frame of frames) {
          if (frame.kind === 'ping') continue;
          response(frame).then(
            (reply) => void link.send(reply),
            (error) => {
              needs.note('core request failed', { kind: frame.kind, why: Failure.text(error) });
              if (Failure.is(error, 'frame')) link.close();
            },
          );
        }
      },
    };
  },
};

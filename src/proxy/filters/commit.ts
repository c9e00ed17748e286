// Commit and stream: the last filter. With successful headers in hand it commits: the head goes to the
// caller and from then on nothing is tried again. Bytes pass as they come, with back-pressure both ways.
// When the server breaks off or falls silent, the caller's connection ends abruptly, so that a broken
// stream can never be taken for a whole one. The head goes out together with what follows it in the same turn of the
// loop, and by itself where nothing does.
import type { ServerResponse } from 'node:http';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { match } from 'ts-pattern';
import { Failure } from '../../kinds/failure.js';
import { Moment } from '../../kinds/moment.js';
import { Stamp } from '../../kinds/stamp.js';
import { Timer } from '../../kinds/timer.js';
import { Suspicion } from '../../upstream/suspicion.js';
import type { Trial } from '../../upstream/trial.js';
import type { Tries } from '../../upstream/tries.js';
import { Call } from '../call.js';
import { Chunks } from '../chunks.js';
import { Events } from '../events.js';
import type { Filter } from '../filter.js';
import { Hygiene } from '../hygiene.js';
import { Reset } from '../reset.js';
import { Responses } from '../responses.js';

export type Commit = 'done' | 'server' | 'client' | 'late';

type Spans = {
  readonly idle: number;
  readonly until: Moment | undefined;
  /** How long a pause makes the server suspect; undefined where none does. */
  readonly suspectAfter: number | undefined;
};

type Watch = {
  readonly onEvent: (span: number) => void;
  readonly onSilence: () => void;
  /** Calls back when the server is found dark and the stream may go on elsewhere. */
  readonly onLost: (end: () => void) => () => void;
};

/** Servers stop by themselves when the time that they were told is over; this long after it they are cut. */
const lateness = 200;

type Streamed = Extract<Trial, { kind: 'stream' }>;

const nameServer = (call: Call, trial: Trial, tries: number): Readonly<Record<string, string>> =>
  call.dialect.down({
    id: call.id,
    group: trial.pick.group.name,
    region: trial.pick.server.region,
    tries,
    stamp: Stamp.text(Call.need(call, 'compiled').stamp),
  });

const stream = (
  trial: Streamed,
  outgoing: ServerResponse,
  chunks: Chunks,
  { idle, until, suspectAfter }: Spans,
  events: Events | undefined,
  watch: Watch,
): Promise<Commit> =>
  new Promise((resolve) => {
    let flow: { resume: () => void } | undefined;
    let isEnded = false;
    let isLate = false;
    let last: Moment | undefined;
    const finish = (how: Commit) => {
      if (isEnded) return;
      isEnded = true;
      rest();
      resolve(how);
    };
    const rest = () => {
      quiet.stop();
      late?.stop();
      suspicion?.stop();
      forget();
    };
    const lost = () => trial.body.abort(Failure.of('reset', 'the server does not answer any more'));
    const forget = watch.onLost(lost);
    const suspicion = suspectAfter === undefined ? undefined : Timer.after(suspectAfter, watch.onSilence);
    const quiet = Timer.after(idle, () => trial.body.abort(Failure.of('timeout', 'the stream fell silent')));
    const onLate = () => {
      isLate = true;
      trial.body.abort(Failure.of('timeout', 'the time of the request is over'));
    };
    const late = until === undefined ? undefined : Timer.after(Moment.left(until), onLate);
    const onDrain = () => {
      quiet.again();
      flow?.resume();
    };
    const onClose = () => {
      if (!isEnded) trial.body.abort(Failure.of('left', 'the client left'));
      finish(outgoing.writableFinished ? 'done' : 'client');
    };
    outgoing.on('drain', onDrain);
    outgoing.once('close', onClose);
    flow = trial.body.pump({
      write(chunk) {
        quiet.again();
        suspicion?.again();
        const now = Moment.now();
        if (last !== undefined) watch.onEvent(now - last);
        last = now;
        const whole = events ? events.take(chunk) : chunk;
        return whole === undefined || chunks.write(whole);
      },
      end() {
        isEnded = true;
        rest();
        chunks.end(events?.rest(), () => resolve('done'));
        outgoing.once('close', () => resolve(outgoing.writableFinished ? 'done' : 'client'));
      },
      fail() {
        outgoing.removeListener('drain', onDrain);
        outgoing.removeListener('close', onClose);
        finish(outgoing.destroyed ? 'client' : isLate ? 'late' : 'server');
      },
    });
  });

const isEventStream = ({ headers }: Streamed): boolean =>
  String(headers['content-type'] ?? '').startsWith('text/event-stream') &&
  (headers['content-encoding'] ?? 'identity') === 'identity';

/** Ends an answer so that it never looks whole: one that nothing but its connection delimits needs a reset. */
const cut = (outgoing: ServerResponse, { isDelimited }: Chunks): void => {
  if (isDelimited || !outgoing.socket) outgoing.destroy();
  else Reset.now(outgoing.socket);
};

const watchOf = (needs: Filter.Needs, { pick }: Streamed, events: Events | undefined): Watch => ({
  onEvent: (span) => needs.placement.reading.event(pick.server.instance, span),
  onSilence: () => needs.prover.suspect(pick.server),
  onLost: (end) =>
    needs.prover.watch(pick.server.instance, () => {
      if (events?.canResume() && needs.budget.held() >= 1) end();
    }),
});

const serve = async (
  needs: Filter.Needs,
  call: Call,
  first: Streamed,
  sentBefore: number,
  outgoing: ServerResponse,
  events: Events | undefined,
): Promise<Commit> => {
  const { idle } = Call.need(call, 'timeouts');
  const deadline = Call.need(call, 'deadline');
  const until = call.dialect.endsAnswers ? Moment.after(lateness, deadline) : undefined;
  const { gap } = Call.need(call, 'rule');
  const suspectAfter = isEventStream(first) ? Suspicion.pauseAfter(gap) : undefined;
  const chunks = Chunks.of(outgoing);
  let trial = first;
  let sent = sentBefore;
  let how: Commit;
  for (;;) {
    how = await stream(
      trial,
      outgoing,
      chunks,
      { idle, until, suspectAfter },
      events,
      watchOf(needs, trial, events),
    );
    trial.job.end();
    if (how === 'done') {
      needs.pool.give(trial.connection);
      return how;
    }
    await trial.connection.destroy();
    if (how === 'server') {
      needs.ejector.bad(trial.pick.server, trial.pick.group);
      needs.failures.see(trial.pick.server.instance, 1);
      needs.note('stream broken', { request: call.id, by: trial.pick.server.instance });
    }
    if (how === 'client' || outgoing.destroyed) return 'client';
    if (how === 'late' || !events?.canResume() || !call.resume) break;
    events.restart();
    const verdict = await call.resume(events.last(), sent);
    if (verdict.kind !== 'stream') break;
    sent = verdict.sent;
    if (outgoing.destroyed || verdict.trial.status !== 200 || !isEventStream(verdict.trial)) {
      await verdict.trial.connection.destroy();
      verdict.trial.job.end();
      break;
    }
    trial = verdict.trial;
  }
  cut(outgoing, chunks);
  return outgoing.writableFinished ? 'done' : how;
};

const why: Partial<Record<Tries.Why, string>> = {
  no_server: 'no server may run this request just now',
  budget: 'the share of extra tries is used up',
  refused: 'the servers tried refused it',
  total: 'the request ran out of time',
};

const publicCodes: Partial<Record<Tries.Why, string>> = { refused: 'dropped' };

export const Commit = {
  filter:
    (needs: Filter.Needs): Filter =>
    async (context) => {
      const { call } = context.var;
      const { outgoing } = context.env;
      const verdict = Call.need(call, 'verdict');
      const rule = Call.need(call, 'rule');
      const count = (outcome: string) => needs.meters.requests.inc({ rule: rule.name, outcome });
      return match(verdict)
        .with({ kind: 'refusal' }, ({ status, why: cause, retryAfter, tries }) => {
          count(`drop_${status}`);
          needs.meters.refusals.inc({ code: publicCodes[cause] ?? cause });
          return Responses.refuse(context, {
            status,
            code: publicCodes[cause] ?? cause,
            text: why[cause] ?? `no server answered: ${cause}`,
            ran: status === 503 ? 'no' : 'unknown',
            retryAfter,
            tries,
          });
        })
        .with({ kind: 'response' }, ({ trial, tries }) => {
          if (rule.isOnce && call.dialect.promises.has(trial.status)) {
            count('response_no_promise');
            return Responses.refuse(context, {
              status: 502,
              code: 'no_promise',
              text: `a server answered ${trial.status} and did not say that it had not run the request`,
              ran: 'unknown',
              tries,
            });
          }
          count(`response_${trial.status}`);
          outgoing.writeHead(trial.status, {
            ...Hygiene.down(trial.headers, call.dialect),
            ...nameServer(call, trial, tries),
            'bramblebend-ran': 'unknown',
            'content-length': trial.body.length,
          });
          outgoing.end(trial.body);
          return RESPONSE_ALREADY_SENT;
        })
        .with({ kind: 'stream' }, async ({ trial, tries, sent }) => {
          if (outgoing.destroyed) {
            await trial.connection.destroy();
            trial.job.end();
            count('client_left');
            return RESPONSE_ALREADY_SENT;
          }
          needs.meters.firstByte.observe({ rule: rule.name }, Moment.since(call.arrived) / 1000);
          outgoing.once('error', () => outgoing.destroy());
          const events = rule.isResumable && isEventStream(trial) ? Events.of(call.asked.after) : undefined;
          const head = { ...Hygiene.down(trial.headers, call.dialect), ...nameServer(call, trial, tries) };
          if (events) delete head['content-length'];
          outgoing.cork();
          outgoing.writeHead(trial.status, head);
          outgoing.flushHeaders();
          setImmediate(() => outgoing.uncork());
          const how = await serve(needs, call, trial, sent, outgoing, events);
          count(how === 'done' ? 'served' : `broken_by_${how}`);
          if (how !== 'done') needs.meters.breaks.inc({ side: how });
          return RESPONSE_ALREADY_SENT;
        })
        .exhaustive();
    },
};

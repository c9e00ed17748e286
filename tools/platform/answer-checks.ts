/**
 * Checks of single requests by what clients and servers recorded: not run twice, not run although refused, not altered on
 * the way, answered with their own response only, and streams put together correctly.
 */
import type { Recording } from './recording.js';
import { Verdict } from './verdict.js';

/** The checks of responses. */
export type AnswerChecks = Readonly<
  Record<'twice' | 'refused' | 'unasked' | 'labels' | 'mixed' | 'order', Verdict.Check>
>;

const promises = [408, 421, 429, 503];

const runsOf = (recording: Recording) =>
  Verdict.groupBy(Verdict.ofKind(recording, 'run'), (run) => run.attempt);
const doneOf = (recording: Recording): ReadonlyMap<string, Verdict.Done> =>
  new Map(Verdict.ofKind(recording, 'done').map((done) => [done.run, done]));

const judgeOrder = (
  ended: Recording.Ended,
  sent: Recording.Sent,
  runs: readonly Verdict.Run[],
  done: ReadonlyMap<string, Verdict.Done>,
): string | undefined => {
  const events = ended.events ?? [];
  let before = sent.lastEvent ?? 0;
  let run = events[0]?.run;
  for (const event of events) {
    if (event.id !== before + 1) return `event ${event.id} after ${before}`;
    if (event.place !== event.id) return `event ${event.id} holds the bytes of ${event.place}`;
    if (event.run !== run) {
      const next = runs.find((one) => one.run === event.run);
      if (sent.runs !== 'resumable') return `runs ${run} and ${event.run} joined`;
      if (next?.from !== before) return `run ${event.run} began at ${next?.from}, joined after ${before}`;
      run = event.run;
    }
    before = event.id;
  }
  if (ended.outcome !== 'whole') return undefined;
  const last = run === undefined ? undefined : done.get(run)?.last;
  return last === before ? undefined : `complete after ${before} of ${last ?? 'a run that never ended'}`;
};

const judgeAnswer = (
  ended: Recording.Ended,
  runs: readonly Verdict.Run[],
  done: ReadonlyMap<string, Verdict.Done>,
): string | undefined => {
  const isSuccess = ended.status >= 200 && ended.status < 300;
  if (ended.echoed !== undefined && ended.echoed !== ended.attempt) return `the answer of ${ended.echoed}`;
  if (ended.outcome === 'wrong') return `bytes that are no answer: ${ended.why}`;
  if (!isSuccess) return ended.seal === undefined ? undefined : `a failure under the stamp ${ended.seal}`;
  if (ended.outcome !== 'whole') return undefined;
  if (ended.encoding !== undefined) return `encoded as ${ended.encoding}`;
  const sealed = runs.find((run) => run.seal !== '' && run.seal === ended.seal);
  if (!sealed) return `a success under ${ended.seal ?? 'no stamp'}`;
  const end = done.get(sealed.run);
  if (ended.events === undefined && end?.digest !== ended.digest) return 'not the whole body of its server';
  const isOfOne = ended.events?.every((event) => event.run === sealed.run) ?? true;
  return isOfOne && end?.digest !== ended.digest ? 'not the whole stream of its server' : undefined;
};

/** The checks of responses, by name. */
export const AnswerChecks: AnswerChecks = {
  twice(recording) {
    const runs = runsOf(recording);
    const once = recording.sent.filter((sent) => sent.runs === 'once' && runs.has(sent.attempt));
    return {
      occasions: once.length,
      breaches: once
        .filter((sent) => runs.get(sent.attempt)!.length > 1)
        .map((sent) => `${sent.attempt} ran at ${runs.get(sent.attempt)!.map((run) => run.instance)}`),
    };
  },
  refused(recording) {
    const runs = runsOf(recording);
    const tries = Verdict.tries(recording);
    const refused = recording.ended.filter(
      (ended) => promises.includes(ended.status) && tries.get(ended.attempt)?.runs === 'once',
    );
    return {
      occasions: refused.length,
      breaches: refused
        .filter((ended) => runs.has(ended.attempt))
        .map(
          (ended) =>
            `${ended.attempt} got ${ended.status} and ran at ${runs.get(ended.attempt)![0]!.instance}`,
        ),
    };
  },
  unasked(recording) {
    const tries = Verdict.tries(recording);
    const arrived = new Map(
      Verdict.arrivals(recording).map((arrival) => [`${arrival.attempt} ${arrival.instance}`, arrival]),
    );
    const runs = Verdict.ofKind(recording, 'run');
    const breaches = runs.flatMap((run) => {
      const sent = tries.get(run.attempt);
      const arrival = arrived.get(`${run.attempt} ${run.instance}`);
      if (!sent) return [`${run.attempt} ran and nobody sent it`];
      const isSame =
        arrival?.method === 'POST' && arrival.path === sent.path && arrival.digest === sent.digest;
      return isSame ? [] : [`${run.attempt} ran with another method, path or body`];
    });
    return { occasions: runs.length, breaches };
  },
  labels(recording) {
    const tries = Verdict.tries(recording);
    const told = Verdict.arrivals(recording).flatMap((arrival) => {
      const labels = tries.get(arrival.attempt)?.labels;
      return labels === undefined ? [] : [{ arrival, labels }];
    });
    return {
      occasions: told.length,
      breaches: told
        .filter(({ arrival, labels }) => arrival.labels !== labels)
        .map(({ arrival }) => `${arrival.attempt} came with another model, tokens or parts of the prompt`),
    };
  },
  mixed(recording) {
    const runs = runsOf(recording);
    const done = doneOf(recording);
    const answered = recording.ended.filter((ended) => ended.status !== 0 || ended.outcome === 'wrong');
    const breaches = answered.flatMap((ended) => {
      const why = judgeAnswer(ended, runs.get(ended.attempt) ?? [], done);
      return why === undefined ? [] : [`${ended.attempt}: ${why}`];
    });
    const strays = recording.strays.map((stray) => `${stray.front}: ${stray.why}`);
    return { occasions: answered.length, breaches: [...breaches, ...strays] };
  },
  order(recording) {
    const runs = runsOf(recording);
    const done = doneOf(recording);
    const tries = Verdict.tries(recording);
    const streams = recording.ended.filter((ended) => ended.events !== undefined);
    const breaches = streams.flatMap((ended) => {
      const sent = tries.get(ended.attempt);
      const why = sent && judgeOrder(ended, sent, runs.get(ended.attempt) ?? [], done);
      return why === undefined ? [] : [`${ended.attempt}: ${why}`];
    });
    return { occasions: streams.length, breaches };
  },
};

/**
 * Commit filter, the last one: answers the client according to the outcome of the attempts, with the response of a server
 * or an error of the proxy.
 */
import { match } from 'ts-pattern';
import { Instant } from '../../common/instant.js';
import { Stamp } from '../../common/stamp.js';
import type { Tries } from '../../upstream/tries.js';
import type { UpstreamTry } from '../../upstream/upstream-try.js';
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { HeaderFilter } from '../header-filter.js';
import { Responses } from '../responses.js';
import { StreamResponse } from '../stream-response.js';

/** The outcome that a call is answered with. */
export type Commit = { readonly verdict: Tries };

type Refusal = Extract<Tries, { kind: 'refusal' }>;
type FinalResponse = Extract<Tries, { kind: 'response' }>;
type ServerStream = Extract<Tries, { kind: 'stream' }>;

const reasonTexts: Partial<Record<Tries.Reason, string>> = {
  no_server: 'no server may run this request just now',
  budget: 'the share of extra tries is used up',
  refused: 'the servers tried refused it',
  total: 'the request ran out of time',
};

/** Error codes on the wire that differ from the internal reason. */
const publicCodes: Partial<Record<Tries.Reason, string>> = { refused: 'dropped' };

const count = (needs: Filter.Dependencies, call: Call, outcome: string): void =>
  needs.meters.requests.inc({ rule: Call.require(call, 'rule').name, outcome });

const createResponseHeaders = (
  call: Call,
  { pick }: UpstreamTry,
  tries: number,
): Readonly<Record<string, string>> =>
  call.dialect.responseHeaders({
    id: call.id,
    group: pick.group.name,
    region: pick.server.region,
    tries,
    stamp: Stamp.text(Call.require(call, 'compiled').stamp),
  });

const refuse = (needs: Filter.Dependencies, call: Call, refused: Refusal): Filter.Step => {
  const { status, why: cause, retryAfter, tries } = refused;
  const code = publicCodes[cause] ?? cause;
  count(needs, call, `drop_${status}`);
  needs.meters.refusals.inc({ code });
  return Responses.refuse(call, {
    status,
    code,
    text: reasonTexts[cause] ?? `no server answered: ${cause}`,
    ran: status === 503 ? 'no' : 'unknown',
    retryAfter,
    tries,
  });
};

const answer = (
  needs: Filter.Dependencies,
  call: Call,
  { result: trial, tries }: FinalResponse,
): Filter.Step => {
  const { outgoing, dialect } = call;
  if (Call.require(call, 'rule').isOnce && dialect.notRunStatuses.has(trial.status)) {
    // Passed on as it is, this status would tell the client that the request did not run.
    count(needs, call, 'response_no_promise');
    return Responses.refuse(call, {
      status: 502,
      code: 'no_promise',
      text: `a server answered ${trial.status} and did not say that it had not run the request`,
      ran: 'unknown',
      tries,
    });
  }
  count(needs, call, `response_${trial.status}`);
  outgoing.writeHead(trial.status, {
    ...HeaderFilter.responseHeaders(trial.headers, dialect),
    ...createResponseHeaders(call, trial, tries),
    'bramblebend-ran': 'unknown',
    'content-length': trial.body.length,
  });
  outgoing.end(trial.body);
  return 'answered';
};

const stream = async (
  needs: Filter.Dependencies,
  call: Call,
  streamed: ServerStream,
): Promise<Filter.Step> => {
  const { result: trial, tries, sent } = streamed;
  if (call.outgoing.destroyed) {
    await StreamResponse.discard(trial);
    count(needs, call, 'client_left');
    return 'answered';
  }
  needs.meters.firstByte.observe(
    { rule: Call.require(call, 'rule').name },
    Instant.since(call.arrivedAt) / 1000,
  );
  const result = await StreamResponse.begin(
    needs,
    call,
    trial,
    sent,
    createResponseHeaders(call, trial, tries),
  ).relay();
  count(needs, call, result === 'done' ? 'served' : `broken_by_${result}`);
  if (result !== 'done') needs.meters.streamBreaks.inc({ side: result });
  return 'answered';
};

/** Creates the commit filter. */
export const Commit = {
  filter:
    (needs: Filter.Dependencies): Filter =>
    (call) =>
      match(Call.require(call, 'attemptResult'))
        .with({ kind: 'refusal' }, (refused) => refuse(needs, call, refused))
        .with({ kind: 'response' }, (answered) => answer(needs, call, answered))
        .with({ kind: 'stream' }, (streamed) => stream(needs, call, streamed))
        .exhaustive(),
};

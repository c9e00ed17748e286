/** Commit: the last filter. It answers with what the tries came to: a server's answer, or a refusal of our own. */
import { match } from 'ts-pattern';
import { Moment } from '../../kinds/moment.js';
import { Stamp } from '../../kinds/stamp.js';
import type { Trial } from '../../upstream/trial.js';
import type { Tries } from '../../upstream/tries.js';
import { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Hygiene } from '../hygiene.js';
import { Responses } from '../responses.js';
import { StreamResponse } from '../stream-response.js';

/** What a call is answered with. */
export type Commit = { readonly verdict: Tries };

type Refused = Extract<Tries, { kind: 'refusal' }>;
type Answered = Extract<Tries, { kind: 'response' }>;
type Streamed = Extract<Tries, { kind: 'stream' }>;

const why: Partial<Record<Tries.Why, string>> = {
  no_server: 'no server may run this request just now',
  budget: 'the share of extra tries is used up',
  refused: 'the servers tried refused it',
  total: 'the request ran out of time',
};

const publicCodes: Partial<Record<Tries.Why, string>> = { refused: 'dropped' };

const count = (needs: Filter.Dependencies, call: Call, outcome: string): void =>
  needs.meters.requests.inc({ rule: Call.require(call, 'rule').name, outcome });

const nameServer = (call: Call, { pick }: Trial, tries: number): Readonly<Record<string, string>> =>
  call.dialect.responseHeaders({
    id: call.id,
    group: pick.group.name,
    region: pick.server.region,
    tries,
    stamp: Stamp.text(Call.require(call, 'compiled').stamp),
  });

const refuse = (needs: Filter.Dependencies, call: Call, refused: Refused): Filter.Step => {
  const { status, why: cause, retryAfter, tries } = refused;
  const code = publicCodes[cause] ?? cause;
  count(needs, call, `drop_${status}`);
  needs.meters.refusals.inc({ code });
  return Responses.refuse(call, {
    status,
    code,
    text: why[cause] ?? `no server answered: ${cause}`,
    ran: status === 503 ? 'no' : 'unknown',
    retryAfter,
    tries,
  });
};

const answer = (needs: Filter.Dependencies, call: Call, { trial, tries }: Answered): Filter.Step => {
  const { outgoing, dialect } = call;
  if (Call.require(call, 'rule').isOnce && dialect.notRunStatuses.has(trial.status)) {
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
    ...Hygiene.down(trial.headers, dialect),
    ...nameServer(call, trial, tries),
    'bramblebend-ran': 'unknown',
    'content-length': trial.body.length,
  });
  outgoing.end(trial.body);
  return 'answered';
};

const stream = async (needs: Filter.Dependencies, call: Call, streamed: Streamed): Promise<Filter.Step> => {
  const { trial, tries, sent } = streamed;
  if (call.outgoing.destroyed) {
    await StreamResponse.discard(trial);
    count(needs, call, 'client_left');
    return 'answered';
  }
  needs.meters.firstByte.observe(
    { rule: Call.require(call, 'rule').name },
    Moment.since(call.arrivedAt) / 1000,
  );
  const how = await StreamResponse.begin(needs, call, trial, sent, nameServer(call, trial, tries)).relay();
  count(needs, call, how === 'done' ? 'served' : `broken_by_${how}`);
  if (how !== 'done') needs.meters.breaks.inc({ side: how });
  return 'answered';
};

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

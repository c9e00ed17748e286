/**
 * Admit filter: refuses requests beyond the capacity of this proxy, identifies the team by its API key, and reads the
 * body up to the largest size limit of the rules that could match, within their timeout.
 */
import { Instant } from '../../common/instant.js';
import type { Compiled } from '../../manifest/compiled.js';
import type { BodyReader } from '../../overload/body-reader.js';
import type { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Prompt } from '../prompt.js';
import { Responses } from '../responses.js';
import { MatchRule } from './match-rule.js';

/** Whether a rule may match a call. */
export type Admit = { readonly mayMatch: (rule: Compiled.Rule) => boolean };

const readHost = (headers: NodeJS.Dict<string | string[]>): string =>
  String(headers.host ?? '')
    .replace(/:\d+$/, '')
    .toLowerCase();

/** Compares the path first: it rules out nearly all rules, of which there may be thousands. */
const isCandidate = (
  rule: Compiled.Rule,
  method: string,
  path: string,
  headers: NodeJS.Dict<string | string[]>,
): boolean => {
  const { match } = rule;
  const matchesPath = rule.pathPrefix === undefined ? match.path === path : path.startsWith(rule.pathPrefix);
  if (!matchesPath) return false;
  if (match.host !== undefined && match.host !== readHost(headers)) return false;
  if (match.method !== undefined && match.method !== method) return false;
  return Object.entries(match.headers ?? {}).every(([name, value]) => headers[name] === value);
};

const crowded = Responses.unavailable('crowded', 'this proxy serves as many requests as it may');
const noManifest = Responses.unavailable('no_manifest', 'no manifest is in force here yet');
const unverifiedKeys = Responses.unavailable(
  'keys_unverified',
  'this proxy is out of touch and cannot tell which keys are valid',
);
const unknownIsolation = Responses.unavailable('no_wall', 'the wall around this tenant can’t be told');

const countRefusal = (needs: Filter.Dependencies, refusal: Responses): Responses => {
  needs.meters.refusals.inc({ code: refusal.code });
  return refusal;
};

/** Whether this proxy serves as many requests as it may; one whose body does not arrive gives way. */
const isCrowded = ({ active, maxConcurrent, overload }: Filter.Dependencies): boolean =>
  active() > maxConcurrent && !overload.memory.shedOldest(staleBodyMs);

/** Identifies the team and its cache isolation, or returns the refusal. */
const identify = (needs: Filter.Dependencies, call: Call): Responses | undefined => {
  const compiled = needs.compiled();
  if (!compiled) return noManifest;
  if (isCrowded(needs)) return crowded;
  const key = compiled.hasKeys ? call.dialect.apiKey(call.incoming.headers) : undefined;
  if (key !== undefined && !needs.keyLease.isValid()) return countRefusal(needs, unverifiedKeys);
  const team = key === undefined ? compiled.anonymousTeam : compiled.findTeamByKey(key);
  if (!team) return countRefusal(needs, Responses.invalidKey);
  call.compiled = compiled;
  call.team = team;
  if (key !== undefined) call.key = key;
  call.wall = compiled.walls?.of(team.name);
  if (!compiled.walls || call.wall) return undefined;
  return countRefusal(needs, unknownIsolation);
};

const isPromptPath = (path: string): boolean => path === '/v1/chat/completions' || path === '/v1/completions';

/** Returns the prompt; undefined if the body should be a JSON object but is not. */
const readPrompt = (call: Call, body: Buffer): Prompt | undefined => {
  const { dialect, requestInfo, path, incoming } = call;
  if (!dialect.isOpenAi) {
    const shared = requestInfo.parts.slice(0, -1).map((part) => part.key);
    return { model: requestInfo.model, key: shared.length > 0 ? shared.join() : undefined, json: undefined };
  }
  const isJson = /^application\/([a-z.+-]+\+)?json\b/i.test(incoming.headers['content-type'] ?? '');
  const hasPrompt = isPromptPath(path) || (body.length > 0 && isJson);
  return hasPrompt ? Prompt.read(body) : Prompt.none;
};

const tooSlow: Responses = {
  status: 408,
  code: 'body_too_slow',
  text: 'the body did not come in the time that the whole request has',
};

/** Age of an incomplete body from which on its request gives way to others, in milliseconds. */
const staleBodyMs = 1000;
const noMemory = Responses.unavailable('memory', 'this proxy holds as much of requests as it may');

const refuseBody = (
  needs: Filter.Dependencies,
  call: Call,
  failure: BodyReader.Failure,
  maxBytes: number,
): Filter.Step => {
  if (failure === 'long') return Responses.refuse(call, Responses.bodyTooLong(maxBytes));
  if (failure === 'shed') return Responses.refuse(call, countRefusal(needs, noMemory));
  return Responses.refuse(call, tooSlow);
};

const receiveBody = async (
  needs: Filter.Dependencies,
  call: Call,
  candidates: readonly Compiled.Rule[],
): Promise<Filter.Step> => {
  const maxBytes = Math.max(...candidates.map((rule) => rule.maxBodyBytes));
  const total = Math.min(
    call.requestInfo.timeLeft ?? Instant.never,
    Math.max(...candidates.map((rule) => rule.timeouts.total)),
  );
  const body = await needs.overload.bodies.read(call.incoming, call.outgoing, {
    maxBytes,
    until: Instant.after(total, call.arrivedAt),
  });
  if (typeof body === 'string') return refuseBody(needs, call, body, maxBytes);
  call.body = body;
  const prompt = readPrompt(call, body);
  if (!prompt)
    return Responses.refuse(call, {
      status: 400,
      code: 'bad_json',
      text: 'the body is no JSON object',
    });
  call.prompt = prompt;
  return 'next';
};

const admit = (needs: Filter.Dependencies, call: Call): Filter.Step | Promise<Filter.Step> => {
  const refusal = identify(needs, call);
  if (refusal) return Responses.refuse(call, refusal);
  const { compiled, method, path, incoming } = call;
  const candidates = compiled!.rules.filter((rule) => isCandidate(rule, method, path, incoming.headers));
  call.candidateRules = candidates;
  const isRefusedByAll = candidates.length > 0 && candidates.every((rule) => MatchRule.lacksKey(call, rule));
  if (isRefusedByAll) return Responses.refuse(call, countRefusal(needs, Responses.invalidKey));
  return candidates.length === 0 ? 'next' : receiveBody(needs, call, candidates);
};

/** Creates the admit filter. */
export const Admit = {
  filter:
    (needs: Filter.Dependencies): Filter =>
    (call) => {
      const awaitsManifest = !needs.compiled() && needs.active() <= needs.maxConcurrent;
      if (!awaitsManifest) return admit(needs, call);
      return needs.firstManifest.wait(call.requestInfo.timeLeft).then(() => admit(needs, call));
    },
};

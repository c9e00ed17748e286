/**
 * Admit: refuses what this proxy cannot take on, finds the team by its key, and reads the body up to the largest limit of
 * the rules that could match, within their deadline.
 */
import type { IncomingMessage } from 'node:http';
import { Moment } from '../../kinds/moment.js';
import { Timer } from '../../kinds/timer.js';
import type { Compiled } from '../../manifest/compiled.js';
import type { Call } from '../call.js';
import type { Filter } from '../filter.js';
import { Prompt } from '../prompt.js';
import { Responses } from '../responses.js';

/** Whether a rule may take a call. */
export type Admit = { readonly mayMatch: (rule: Compiled.Rule) => boolean };

type Bad = 'long' | 'late' | 'left';

const readKey = (headers: NodeJS.Dict<string | string[]>): string | undefined => {
  const bearer = /^Bearer +(\S+) *$/i.exec(String(headers.authorization ?? ''))?.[1];
  const other = headers['api-key'] ?? headers['x-api-key'];
  return bearer ?? (typeof other === 'string' ? other : undefined);
};

const hostOf = (headers: NodeJS.Dict<string | string[]>): string =>
  String(headers.host ?? '')
    .replace(/:\d+$/, '')
    .toLowerCase();

const readBody = (incoming: IncomingMessage, longest: number, until: Moment): Promise<Buffer | Bad> =>
  new Promise((resolve) => {
    if (Number(incoming.headers['content-length'] ?? 0) > longest) return resolve('long');
    const chunks: Buffer[] = [];
    let length = 0;
    const finish = (how: Buffer | Bad) => {
      late.stop();
      if (typeof how === 'string') incoming.pause();
      resolve(how);
    };
    const late = Timer.after(Moment.left(until), () => finish('late'));
    incoming.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > longest) finish('long');
      else chunks.push(chunk);
    });
    incoming.once('end', () => finish(Buffer.concat(chunks)));
    incoming.once('close', () => finish('left'));
  });

/** The path goes first: it turns away nearly all rules, of which there may be thousands. */
const isLike = (
  rule: Compiled.Rule,
  method: string,
  path: string,
  headers: NodeJS.Dict<string | string[]>,
): boolean => {
  const { match } = rule;
  const isPath = rule.prefix === undefined ? match.path === path : path.startsWith(rule.prefix);
  if (!isPath) return false;
  if (match.host !== undefined && match.host !== hostOf(headers)) return false;
  if (match.method !== undefined && match.method !== method) return false;
  return Object.entries(match.headers ?? {}).every(([name, value]) => headers[name] === value);
};

const crowded = Responses.unavailable('crowded', 'this proxy serves as many requests as it may');
const noManifest = Responses.unavailable('no_manifest', 'no manifest is in force here yet');
const noKey: Responses = { status: 401, code: 'invalid_api_key', text: 'the key is missing or unknown' };
const noWall = Responses.unavailable('no_wall', 'the wall around this tenant can’t be told');

/** Finds whose call it is, or says why it is refused. */
const identify = (needs: Filter.Dependencies, call: Call): Responses | undefined => {
  const compiled = needs.compiled();
  if (!compiled) return noManifest;
  if (needs.active() > needs.maxConcurrent) return crowded;
  const key = call.dialect.isOpenAi ? readKey(call.incoming.headers) : undefined;
  const team = key === undefined ? compiled.openTeam : compiled.findTeam(key);
  if (!team) return noKey;
  call.compiled = compiled;
  call.team = team;
  call.wall = compiled.walls?.of(team.name);
  if (!compiled.walls || call.wall) return undefined;
  needs.meters.refusals.inc({ code: 'no_wall' });
  return noWall;
};

const isPromptPath = (path: string): boolean => path === '/v1/chat/completions' || path === '/v1/completions';

/** What is known of the prompt; undefined where the body should be a JSON object and is none. */
const promptOf = (call: Call, body: Buffer): Prompt | undefined => {
  const { dialect, requestInfo: asked, path, incoming } = call;
  if (!dialect.isOpenAi) {
    const shared = asked.parts.slice(0, -1).map((part) => part.key);
    return { model: asked.model, key: shared.length > 0 ? shared.join() : undefined, json: undefined };
  }
  const isJson = /^application\/([a-z.+-]+\+)?json\b/i.test(incoming.headers['content-type'] ?? '');
  const isRead = isPromptPath(path) || (body.length > 0 && isJson);
  return isRead ? Prompt.read(body) : Prompt.none;
};

const tooSlow: Responses = {
  status: 408,
  code: 'body_too_slow',
  text: 'the body did not come in the time that the whole request has',
};

const takeBody = async (call: Call, like: readonly Compiled.Rule[]): Promise<Filter.Step> => {
  const longest = Math.max(...like.map((rule) => rule.body));
  const total = Math.min(
    call.requestInfo.timeLeft ?? Moment.never,
    Math.max(...like.map((rule) => rule.timeouts.total)),
  );
  const body = await readBody(call.incoming, longest, Moment.after(total, call.arrivedAt));
  if (body === 'long') return Responses.refuse(call, Responses.bodyTooLong(longest));
  if (typeof body === 'string') return Responses.refuse(call, tooSlow);
  call.body = body;
  const prompt = promptOf(call, body);
  if (!prompt)
    return Responses.refuse(call, { status: 400, code: 'bad_json', text: 'the body is no JSON object' });
  call.prompt = prompt;
  return 'next';
};

const admit = (needs: Filter.Dependencies, call: Call): Filter.Step | Promise<Filter.Step> => {
  const refusal = identify(needs, call);
  if (refusal) return Responses.refuse(call, refusal);
  const { compiled, method, path, incoming } = call;
  const like = compiled!.rules.filter((rule) => isLike(rule, method, path, incoming.headers));
  call.candidateRules = like;
  return like.length === 0 ? 'next' : takeBody(call, like);
};

export const Admit = {
  filter:
    (needs: Filter.Dependencies): Filter =>
    (call) => {
      const waits = !needs.compiled() && needs.active() <= needs.maxConcurrent;
      if (!waits) return admit(needs, call);
      return needs.firstManifest.wait(call.requestInfo.timeLeft).then(() => admit(needs, call));
    },
};

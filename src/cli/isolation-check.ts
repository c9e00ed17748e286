/**
 * Checks the isolation of tenants in a running fleet. In each round two tenants send the same new prompt through chosen
 * proxies: the first tenant twice, to see that servers report cache hits, then the second. Cached tokens that a server
 * reports for the second tenant mean that it matched the first tenant's cache entry.
 */

import { randomBytes } from 'node:crypto';
import { request } from 'undici';

/** The result for one pair of proxies: the first tenant asks through `from`, the second through `to`. */
export type IsolationCheck = {
  readonly from: string;
  readonly to: string;
  readonly rounds: number;
  /** Rounds in which both tenants reached the same server. */
  readonly sameServer: number;
  /** Rounds in which the first tenant's repeated prompt hit its own cache entry. */
  readonly ownHits: number;
  /** Rounds in which the second tenant's prompt hit the first tenant's cache entry. */
  readonly crossHits: number;
  readonly failed: number;
  /** Median duration of the first tenant's repeated request. */
  readonly ownMs: number | undefined;
  /** Median duration of the second tenant's request. */
  readonly otherMs: number | undefined;
  readonly verdict: 'apart' | 'MATCH' | 'unsure';
};

export declare namespace IsolationCheck {
  /** Whom and what to ask. */
  type Options = {
    readonly proxies: readonly string[];
    readonly keys: readonly [string, string];
    readonly model: string;
    readonly path: string;
    readonly rounds: number;
  };
}

type Answer = {
  readonly status: number;
  readonly cached: number | undefined;
  readonly instance: string | undefined;
  readonly tookMs: number;
};
type Usage = { readonly usage?: { readonly prompt_tokens_details?: { readonly cached_tokens?: unknown } } };

const promptWords = 400;
/** A pair is done after so many rounds at the same server and so many own hits. */
const sufficientRounds = 3;
const responseTimeoutMs = 30_000;

const makePrompt = (): string =>
  Array.from({ length: promptWords }, () => randomBytes(4).toString('hex')).join(' ');

const ask = async (
  proxy: string,
  key: string,
  prompt: string,
  options: IsolationCheck.Options,
): Promise<Answer> => {
  const began = performance.now();
  try {
    const response = await request(`http://${proxy}${options.path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: options.model,
        max_tokens: 1,
        messages: [
          { role: 'system', content: prompt },
          { role: 'user', content: 'Say yes.' },
        ],
      }),
      headersTimeout: responseTimeoutMs,
    });
    const text = await response.body.text();
    const tookMs = performance.now() - began;
    const answer = response.statusCode === 200 ? (JSON.parse(text) as Usage) : {};
    const cached = answer.usage?.prompt_tokens_details?.cached_tokens;
    const instance = response.headers['x-instance-id'];
    return {
      status: response.statusCode,
      cached: typeof cached === 'number' ? cached : undefined,
      instance: typeof instance === 'string' ? instance : undefined,
      tookMs,
    };
  } catch {
    return { status: 0, cached: undefined, instance: undefined, tookMs: performance.now() - began };
  }
};

const median = (values: readonly number[]): number | undefined =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];

const checkPair = async (
  from: string,
  to: string,
  options: IsolationCheck.Options,
): Promise<IsolationCheck> => {
  const [first, second] = options.keys;
  const ownDurations: number[] = [];
  const otherDurations: number[] = [];
  const count = { rounds: 0, sameServer: 0, ownHits: 0, crossHits: 0, failed: 0 };
  while (
    count.rounds < options.rounds &&
    (count.sameServer < sufficientRounds || count.ownHits < sufficientRounds)
  ) {
    const prompt = makePrompt();
    const initial = await ask(from, first, prompt, options);
    const repeated = await ask(from, first, prompt, options);
    const foreign = await ask(to, second, prompt, options);
    count.rounds += 1;
    if ([initial, repeated, foreign].some(({ status }) => status !== 200)) {
      count.failed += 1;
      continue;
    }
    const servers = [initial.instance, repeated.instance].filter((one) => one !== undefined);
    if (foreign.instance !== undefined && servers.includes(foreign.instance)) count.sameServer += 1;
    if ((repeated.cached ?? 0) > 0) count.ownHits += 1;
    if ((foreign.cached ?? 0) > 0) count.crossHits += 1;
    ownDurations.push(repeated.tookMs);
    otherDurations.push(foreign.tookMs);
  }
  const isConclusive = count.sameServer > 0 && count.ownHits > 0;
  const verdict = count.crossHits > 0 ? 'MATCH' : isConclusive ? 'apart' : 'unsure';
  return { from, to, ...count, ownMs: median(ownDurations), otherMs: median(otherDurations), verdict };
};

/** Checks that tenants share no cache entries. */
export const IsolationCheck = {
  /** Checks all pairs of the proxies, one after the other. */
  async run(options: IsolationCheck.Options): Promise<readonly IsolationCheck[]> {
    const results: IsolationCheck[] = [];
    for (const from of options.proxies)
      for (const to of options.proxies) results.push(await checkPair(from, to, options));
    return results;
  },
};

// The live check of walls: two tenants ask the running fleet the same prompts, made up for each round, through chosen
// proxies. The first asks twice, to see that servers publish what they match; then the second asks. What the engines
// publish as cached tokens for the second is a match across the wall.
import { randomBytes } from 'node:crypto';
import { request } from 'undici';

export type Walls = {
  readonly from: string;
  readonly to: string;
  readonly rounds: number;
  /** Rounds in which both tenants came to one server. */
  readonly met: number;
  /** Rounds in which the first tenant's second prompt matched its own work. */
  readonly seen: number;
  readonly across: number;
  readonly failed: number;
  readonly own: number | undefined;
  readonly other: number | undefined;
  readonly verdict: 'apart' | 'MATCH' | 'unsure';
};

export declare namespace Walls {
  type Terms = {
    readonly proxies: readonly string[];
    readonly keys: readonly [string, string];
    readonly model: string;
    readonly path: string;
    readonly rounds: number;
  };
}

type Told = {
  readonly status: number;
  readonly cached: number | undefined;
  readonly instance: string | undefined;
  readonly took: number;
};
type Usage = { readonly usage?: { readonly prompt_tokens_details?: { readonly cached_tokens?: unknown } } };

const words = 400;
const enough = 3;
const responseWithin = 30_000;

const makePrompt = (): string =>
  Array.from({ length: words }, () => randomBytes(4).toString('hex')).join(' ');

const ask = async (proxy: string, key: string, prompt: string, terms: Walls.Terms): Promise<Told> => {
  const began = performance.now();
  try {
    const response = await request(`http://${proxy}${terms.path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: terms.model,
        max_tokens: 1,
        messages: [
          { role: 'system', content: prompt },
          { role: 'user', content: 'Say yes.' },
        ],
      }),
      headersTimeout: responseWithin,
    });
    const text = await response.body.text();
    const took = performance.now() - began;
    const told = response.statusCode === 200 ? (JSON.parse(text) as Usage) : {};
    const cached = told.usage?.prompt_tokens_details?.cached_tokens;
    const instance = response.headers['x-instance-id'];
    return {
      status: response.statusCode,
      cached: typeof cached === 'number' ? cached : undefined,
      instance: typeof instance === 'string' ? instance : undefined,
      took,
    };
  } catch {
    return { status: 0, cached: undefined, instance: undefined, took: performance.now() - began };
  }
};

const median = (values: readonly number[]): number | undefined =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];

const checkPair = async (from: string, to: string, terms: Walls.Terms): Promise<Walls> => {
  const [first, second] = terms.keys;
  const own: number[] = [];
  const other: number[] = [];
  const count = { rounds: 0, met: 0, seen: 0, across: 0, failed: 0 };
  while (count.rounds < terms.rounds && (count.met < enough || count.seen < enough)) {
    const prompt = makePrompt();
    const filled = await ask(from, first, prompt, terms);
    const again = await ask(from, first, prompt, terms);
    const foreign = await ask(to, second, prompt, terms);
    count.rounds += 1;
    if ([filled, again, foreign].some(({ status }) => status !== 200)) {
      count.failed += 1;
      continue;
    }
    const holders = [filled.instance, again.instance].filter((one) => one !== undefined);
    if (foreign.instance !== undefined && holders.includes(foreign.instance)) count.met += 1;
    if ((again.cached ?? 0) > 0) count.seen += 1;
    if ((foreign.cached ?? 0) > 0) count.across += 1;
    own.push(again.took);
    other.push(foreign.took);
  }
  const isSure = count.met > 0 && count.seen > 0;
  const verdict = count.across > 0 ? 'MATCH' : isSure ? 'apart' : 'unsure';
  return { from, to, ...count, own: median(own), other: median(other), verdict };
};

export const Walls = {
  async check(terms: Walls.Terms): Promise<readonly Walls[]> {
    const checked: Walls[] = [];
    for (const from of terms.proxies)
      for (const to of terms.proxies) checked.push(await checkPair(from, to, terms));
    return checked;
  },
};

// The callers: requests of a deployment's mix arrive at random moments at random proxies, and every
// answer is judged from the bytes received: whole, dropped, or broken, and whether the tokens of one run
// came in order, none skipped, none twice, none of another run.
import { Agent, request } from 'undici';
import type { Deployment } from './deployments/deployment.js';
import type { Journal } from './journal.js';
import type { Random } from './random.js';

export type Caller = { readonly stop: () => Promise<void>; readonly sent: () => number };

export declare namespace Caller {
  type Outcome = 'whole' | 'dropped' | 'broken' | 'unreached' | 'wrong' | 'left';
  type Manner = 'patient' | 'leaves' | 'slow';
  type Entry = {
    readonly at: number;
    readonly id: string;
    readonly kind: string;
    readonly runs: Deployment.Kind['runs'];
    readonly home: string;
    readonly proxy: string;
    readonly outcome: Outcome;
    readonly status: number;
    readonly ran: string | undefined;
    readonly tries: number;
    readonly region: string | undefined;
    readonly stamp: string | undefined;
    readonly firstToken: number;
    readonly took: number;
    readonly fault?: string;
  };
  type Terms = {
    readonly kinds: readonly Deployment.Kind[];
    readonly proxies: () => readonly string[];
    readonly random: Random;
    readonly journal: Journal;
    readonly rate?: number;
    readonly tag?: string;
    readonly ill?: number;
  };
}

const judgeTokens = (text: string, wanted: number): string | undefined => {
  const tokens = [...text.matchAll(/"content":"([^"]*?):(\d+) "/g)].map((found) => [
    found[1],
    Number(found[2]),
  ]);
  const runs = new Set(tokens.map(([run]) => run));
  if (runs.size > 1) return 'two runs joined';
  const gap = tokens.findIndex(([, index], place) => index !== place);
  if (gap >= 0) return `token ${gap} is out of order`;
  if (text.includes('[DONE]') && tokens.length !== wanted) return `${tokens.length} of ${wanted} tokens`;
  return undefined;
};

const pause = (span: number) => new Promise<void>((resolve) => setTimeout(resolve, span));

const filler = (name: string, length: number): string => name.padEnd(length, ` ${name}`);

export const Caller = {
  judgeTokens,
  async once(
    kind: Deployment.Kind,
    terms: { id: string; proxy: string; home: string; prefix: number; agent?: Agent; manner?: Caller.Manner },
  ): Promise<Omit<Caller.Entry, 'at'>> {
    const { id, proxy, home, manner = 'patient' } = terms;
    const leave = new AbortController();
    const leaving =
      manner === 'leaves' ? setTimeout(() => leave.abort(), 5 + Math.random() * 400) : undefined;
    const began = performance.now();
    const body =
      kind.method === 'GET'
        ? null
        : JSON.stringify({
            model: kind.model,
            stream: true,
            max_tokens: kind.tokens,
            ...(kind.forged === undefined ? {} : { cache_salt: kind.forged }),
            ...(kind.runs === 'resumable' ? { stream_options: { resumable: true } } : {}),
            messages: [
              {
                role: 'system',
                content: filler(`${kind.text ?? kind.name}-${terms.prefix}`, kind.prefixLength),
              },
              { role: 'user', content: filler(id, kind.ownLength) },
            ],
          });
    const base = { id, kind: kind.name, runs: kind.runs, home, proxy };
    let status = 0;
    let firstToken = -1;
    let text = '';
    let named: Record<string, string | string[] | undefined> = {};
    const tell = (outcome: Caller.Outcome, fault?: string): Omit<Caller.Entry, 'at'> => ({
      ...base,
      outcome,
      status,
      ran: named['bramblebend-ran'] as string | undefined,
      tries: Number(named['bramblebend-tries'] ?? 0),
      region: named['bramblebend-region'] as string | undefined,
      stamp: named['bramblebend-stamp'] as string | undefined,
      firstToken,
      took: performance.now() - began,
      ...(fault === undefined ? {} : { fault }),
    });
    try {
      const answer = await request(`http://${proxy}${kind.path}`, {
        method: kind.method,
        headers: {
          authorization: `Bearer ${kind.key}`,
          'content-type': 'application/json',
          'x-request-id': id,
          'x-home': home,
        },
        body,
        headersTimeout: 20_000,
        bodyTimeout: 20_000,
        signal: leave.signal,
        ...(terms.agent ? { dispatcher: terms.agent } : {}),
      });
      status = answer.statusCode;
      named = answer.headers;
      for await (const chunk of answer.body) {
        if (firstToken < 0) firstToken = performance.now() - began;
        text += String(chunk);
        if (manner === 'slow') await pause(25);
      }
    } catch (error) {
      const fault = judgeTokens(text, kind.tokens);
      if (fault) return tell('wrong', fault);
      if (leave.signal.aborted) return tell('left');
      return tell(status === 0 ? 'unreached' : 'broken', String((error as Error).message));
    }
    clearTimeout(leaving);
    if (status !== 200) return tell('dropped');
    if (kind.method === 'GET') return tell('whole');
    const fault = judgeTokens(text, kind.tokens) ?? (text.includes('[DONE]') ? undefined : 'no [DONE]');
    return fault ? tell('wrong', fault) : tell('whole');
  },
  run(terms: Caller.Terms): Caller {
    const { random, journal } = terms;
    const agent = new Agent({ connections: 256, keepAliveTimeout: 10_000 });
    const pending = new Set<Promise<void>>();
    let isStopped = false;
    let sent = 0;
    const timers = new Map<string, NodeJS.Timeout>();
    const plan = (kind: Deployment.Kind) => {
      timers.set(
        kind.name,
        setTimeout(
          () => {
            if (isStopped) return;
            sent += 1;
            const id = `${terms.tag ?? ''}${kind.name}-${sent}`;
            const proxy = random.pick(terms.proxies());
            const home = random.pick(kind.homes);
            const prefix = random.below(kind.prefixes);
            const isIll = random.next() < (terms.ill ?? 0);
            const manner = isIll ? random.pick(['leaves', 'slow'] as const) : 'patient';
            journal.write({ event: 'sent', id, kind: kind.name, runs: kind.runs, home, proxy });
            const work = Caller.once(kind, { id, proxy, home, prefix, agent, manner }).then((entry) => {
              journal.write({ event: 'ended', ...entry });
              pending.delete(work);
            });
            pending.add(work);
            plan(kind);
          },
          random.gap(kind.perSecond * (terms.rate ?? 1)),
        ),
      );
    };
    for (const kind of terms.kinds) plan(kind);
    return {
      sent: () => sent,
      async stop() {
        isStopped = true;
        for (const timer of timers.values()) clearTimeout(timer);
        await Promise.all([...pending]);
        await agent.close();
      },
    };
  },
};

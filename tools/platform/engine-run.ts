// The runs of one server: hands requests to its model, keeps the model's time by a timer, and writes events and
// answers as they come due. A request has begun with its first token; until then it can be given back.
import type { IncomingMessage, ServerResponse } from 'node:http';
import { match } from 'ts-pattern';
import type { Engine } from './engine.js';
import type { EngineModel } from './engine-model.js';
import { Recording } from './recording.js';
import { Words } from './words.js';

export type EngineRun = {
  readonly take: (asked: EngineRun.Asked) => void;
  /** Waits for a slot as a request does. */
  readonly check: (response: ServerResponse, then: (isFull: boolean) => void) => void;
  /** Nothing that runs or waits is answered any more. */
  readonly mute: () => void;
  readonly stop: () => void;
};

export declare namespace EngineRun {
  type Asked = {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly attempt: string;
    readonly from: number;
    readonly cut: number | undefined;
    readonly head: () => Record<string, string>;
    readonly decline: (response: ServerResponse, attempt: string, status: number) => void;
  };
}

type Job = {
  readonly asked: EngineRun.Asked;
  readonly run: string;
  readonly work: EngineModel.Work;
  readonly written: string[];
  deadline: NodeJS.Timeout | undefined;
  last: number;
  hasBegun: boolean;
};

const ordinaryPriority = 5;

export const EngineRun = {
  of(terms: Engine.Terms): EngineRun {
    const { model, recording, instance } = terms;
    const stride = terms.stride ?? 8;
    const now = Recording.now;
    const jobs = new Map<string, Job>();
    const checks = new Map<string, (isFull: boolean) => void>();
    let serial = 0;
    let timer: NodeJS.Timeout | undefined;
    let isStopped = false;

    const plan = () => {
      clearTimeout(timer);
      const next = model.next();
      if (next !== undefined && !isStopped) timer = setTimeout(turn, Math.max(0, next - now()));
    };
    const turn = () => {
      for (const event of model.advance(now())) act(event);
      plan();
    };
    const workOf = ({ incoming, from }: EngineRun.Asked, id: string): EngineModel.Work => {
      const read = (name: string): string => String(incoming.headers[name.toLowerCase()] ?? '');
      const [prompt = 0, out = 0] = read(Words.tokens).split(',').map(Number);
      const parts = read(Words.parts)
        .split(',')
        .filter((part) => part !== '')
        .map((part) => ({ id: part.split(':')[0]!, tokens: Number(part.split(':')[1]) }));
      const named = parts.reduce((sum, part) => sum + part.tokens, 0);
      const priority = read(Words.priority);
      return {
        id,
        model: read(Words.model),
        priority: priority === '' ? ordinaryPriority : Number(priority),
        parts,
        rest: Math.max(0, prompt - named),
        made: from * stride,
        out: terms.isPlain ? 0 : out,
        span: terms.span ?? 20,
      };
    };
    const sealOf = (job: Job) => `${instance}.${job.run}.${Recording.digest(job.asked.attempt)}`;
    const close = (job: Job) => {
      clearTimeout(job.deadline);
      jobs.delete(job.work.id);
    };
    const breakOff = (job: Job, why: string) => {
      model.leave(now(), job.work.id);
      close(job);
      if (job.hasBegun)
        recording.served.push({
          kind: 'ended',
          at: now(),
          instance,
          attempt: job.asked.attempt,
          run: job.run,
          why,
          last: job.last,
        });
    };
    const headOf = (job: Job): Record<string, string> => ({
      ...job.asked.head(),
      [Words.seal]: sealOf(job),
      ...(terms.isPlain ? {} : { [Words.weights]: String(terms.revision ?? 1) }),
    });
    /** Writes the head of an answer whose length is not told. */
    const begin = (job: Job, type: string) => {
      const { response } = job.asked;
      if (terms.isUndelimited) response.useChunkedEncodingByDefault = false;
      response.writeHead(200, { 'Content-Type': type, ...headOf(job) });
    };
    /** Ends the connection in order in the middle of an answer, as the system does for a process that is killed. */
    const cutOff = (job: Job) => {
      breakOff(job, 'cut');
      job.asked.response.socket?.destroySoon();
    };
    const cutInside = (job: Job, text: string) => {
      job.asked.response.write(text.slice(0, text.length / 2));
      cutOff(job);
    };
    const write = (job: Job, index: number) => {
      const { response } = job.asked;
      if (terms.isPlain) {
        job.written.push(JSON.stringify({ attempt: job.asked.attempt, by: instance, run: job.run }));
        return;
      }
      if (!response.headersSent) begin(job, 'text/event-stream');
      const text = `id: ${index}\ndata: ${JSON.stringify({ run: job.run, place: index })}\n\n`;
      const isCut = job.asked.cut !== undefined && job.written.length + 1 >= job.asked.cut;
      if (isCut && terms.isUndelimited) return cutInside(job, text);
      job.last = index;
      job.written.push(text);
      response.write(text);
      if (isCut) cutOff(job);
    };
    const finish = (job: Job) => {
      const { response, attempt, cut } = job.asked;
      const text = job.written.join('');
      if (terms.isPlain && terms.isUndelimited) begin(job, 'application/json');
      if (terms.isPlain && terms.isUndelimited && cut !== undefined) return cutInside(job, text);
      close(job);
      recording.served.push({
        kind: 'done',
        at: now(),
        instance,
        attempt,
        run: job.run,
        status: 200,
        digest: Recording.digest(text),
        last: job.last,
      });
      if (!terms.isPlain) return void response.end();
      if (!response.headersSent)
        response.writeHead(200, {
          'Content-Type': 'application/json',
          'Content-Length': String(Buffer.byteLength(text)),
          ...headOf(job),
        });
      response.end(text);
    };
    const act = (event: EngineModel.Event) => {
      const check = checks.get(event.id);
      if (check && event.kind === 'done') {
        checks.delete(event.id);
        check(false);
      }
      const job = jobs.get(event.id);
      if (!job) return;
      match(event)
        .with({ kind: 'begun' }, ({ read }) => {
          job.hasBegun = true;
          recording.served.push({
            kind: 'run',
            at: now(),
            instance,
            attempt: job.asked.attempt,
            run: job.run,
            seal: sealOf(job),
            from: job.asked.from,
            read,
          });
        })
        .with({ kind: 'piece' }, ({ index }) => write(job, index))
        .with({ kind: 'put-back' }, () => {})
        .with({ kind: 'done' }, () => finish(job))
        .exhaustive();
    };
    const expire = (job: Job) => {
      const { response, attempt, decline } = job.asked;
      if (!job.hasBegun) {
        breakOff(job, 'late');
        return decline(response, attempt, 503);
      }
      breakOff(job, 'deadline');
      if (response.headersSent) return void response.destroy();
      response.writeHead(504, { 'Content-Length': '0', ...job.asked.head() });
      response.end();
    };
    return {
      take(asked) {
        serial += 1;
        const run = `${instance}-${serial}`;
        const work = workOf(asked, run);
        turn();
        if (model.offer(now(), work) === 'full') return asked.decline(asked.response, asked.attempt, 503);
        const left = Number(asked.incoming.headers[Words.remaining.toLowerCase()] ?? 0);
        const job: Job = {
          asked,
          run,
          work,
          written: [],
          deadline: undefined,
          last: asked.from,
          hasBegun: false,
        };
        if (left > 0) job.deadline = setTimeout(() => expire(job), left);
        jobs.set(run, job);
        asked.response.once('close', () => {
          if (jobs.has(run) && !asked.response.writableFinished) breakOff(job, 'left');
          plan();
        });
        plan();
      },
      check(response, then) {
        if (terms.isPlain) return then(false);
        serial += 1;
        const id = `${instance}-check-${serial}`;
        const work = { id, model: '', priority: 0, parts: [], rest: 0, made: 0, out: 0 };
        turn();
        if (model.offer(now(), work) === 'full') return then(true);
        checks.set(id, then);
        response.once('close', () => {
          if (checks.delete(id)) model.leave(now(), id);
        });
        plan();
      },
      mute() {
        for (const job of [...jobs.values()]) breakOff(job, 'dark');
        checks.clear();
      },
      stop() {
        isStopped = true;
        clearTimeout(timer);
        for (const job of [...jobs.values()]) breakOff(job, 'crash');
      },
    };
  },
};

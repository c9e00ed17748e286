// A stand-in for a back end, as its own process. As a model server it speaks the published OpenAI-style
// format: prefill takes time by what its small prefix cache lacks, with each lookup in the journal, decode goes at a pace, slots are limited,
// and a cold start is slow under a flood. As an ordering server it answers stock lookups. Faults come by
// command over HTTP. Its journal holds each run with the request's id and each token sent.
import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import sade from 'sade';
import { BlockCache } from './block-cache.js';
import { Journal } from './journal.js';

type Flags = {
  kind: 'model' | 'ordering';
  instance: string;
  service: string;
  listen: string;
  journal: string;
  models: string;
  slots: number;
  queue: number;
  prefill: number;
  pace: number;
  cold: number;
};
type Fault = {
  kind: 'none' | 'refuse' | 'reset' | 'stall' | 'cut' | 'status';
  status?: number;
  after?: number;
  times?: number;
  isNotRun?: boolean;
  retryAfter?: number;
};
type Body = {
  model?: string;
  messages?: { role: string; content: string }[];
  prompt?: string;
  cache_salt?: string;
  stream_options?: { resumable?: boolean };
  max_tokens?: number;
  stream?: boolean;
};

const cacheBlocks = 4096;
const charactersPerToken = 4;

const pause = (span: number) => new Promise<void>((resolve) => setTimeout(resolve, span));

const readBody = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

const run = (flags: Flags): void => {
  const journal = Journal.open(flags.journal);
  const models = String(flags.models).split(',');
  const cache = BlockCache.of(cacheBlocks);
  const started = performance.now();
  let fault: Fault = { kind: 'none' };
  let busy = 0;
  let waiting = 0;
  let served = 0;
  const queue: (() => void)[] = [];

  const isCold = () => performance.now() - started < flags.cold;
  const take = async () => {
    if (busy >= flags.slots) {
      waiting += 1;
      await new Promise<void>((resolve) => queue.push(resolve));
      waiting -= 1;
    }
    busy += 1;
  };
  const free = () => {
    busy -= 1;
    queue.shift()?.();
  };
  const useFault = (): Fault => {
    const now = fault;
    if (now.kind !== 'none' && now.times !== undefined) {
      fault = now.times <= 1 ? { kind: 'none' } : { ...now, times: now.times - 1 };
    }
    return now;
  };
  const json = (
    response: ServerResponse,
    status: number,
    body: object,
    headers: Record<string, string> = {},
  ) => {
    response.writeHead(status, {
      'content-type': 'application/json',
      'x-instance-id': flags.instance,
      ...headers,
    });
    response.end(JSON.stringify(body));
  };
  const refuse = (response: ServerResponse, status: number, isNotRun: boolean, retryAfter?: number) =>
    json(
      response,
      status,
      { error: { message: 'refused', type: 'server_error' } },
      {
        ...(isNotRun ? { 'x-not-run': 'yes' } : {}),
        ...(retryAfter === undefined ? {} : { 'retry-after': String(retryAfter) }),
      },
    );

  const complete = async (request: IncomingMessage, response: ServerResponse, text: string, now: Fault) => {
    const body = JSON.parse(text) as Body;
    const ids = {
      request: request.headers['bramblebend-request-id'],
      caller: request.headers['x-request-id'],
    };
    if (waiting >= flags.queue) {
      journal.write({ event: 'refused', instance: flags.instance, ...ids });
      return refuse(response, 429, true, 1);
    }
    const runId = randomUUID().slice(0, 8);
    let isGone = false;
    response.once('close', () => {
      isGone = !response.writableFinished;
    });
    await take();
    try {
      if (isGone) return journal.write({ event: 'abandoned', instance: flags.instance, ...ids });
      const whole = body.messages ? body.messages.map((one) => one.content).join('\n') : (body.prompt ?? '');
      const shared = body.messages?.[0]?.role === 'system' ? body.messages[0].content : '';
      const lookup = cache.look(
        body.cache_salt ?? '',
        whole,
        ids.caller === undefined ? '' : String(ids.caller),
      );
      const cached = lookup.matched * BlockCache.size;
      const isWarm = shared !== '' && cached > shared.length - BlockCache.size;
      const uncached = whole.length - cached;
      journal.write({ event: 'lookup', instance: flags.instance, run: runId, ...lookup, ...ids });
      const slow = isCold() ? 1 + busy : 1;
      journal.write({
        event: 'run',
        instance: flags.instance,
        run: runId,
        warm: isWarm,
        model: body.model,
        ...ids,
      });
      await pause((uncached / 1000) * flags.prefill * slow);
      if (now.kind === 'stall') await new Promise<void>((resolve) => response.once('close', resolve));
      if (isGone || response.destroyed) return journal.write({ event: 'left', run: runId, ...ids });
      const count = body.max_tokens ?? 16;
      const isResumable = body.stream_options?.resumable === true;
      const speaker = isResumable ? ids.caller : runId;
      const token = (index: number) => `${speaker}:${index} `;
      if (!body.stream) {
        await pause(count * flags.pace);
        const content = Array.from({ length: count }, (_none, index) => token(index)).join('');
        json(response, 200, {
          id: runId,
          object: 'chat.completion',
          model: body.model,
          choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'stop' }],
          usage: {
            prompt_tokens: Math.ceil(whole.length / charactersPerToken),
            completion_tokens: count,
            prompt_tokens_details: { cached_tokens: cached / charactersPerToken },
          },
        });
        return journal.write({ event: 'done', run: runId, tokens: count, ...ids });
      }
      response.writeHead(200, { 'content-type': 'text/event-stream', 'x-instance-id': flags.instance });
      response.flushHeaders();
      for (let index = 0; index < count; index += 1) {
        if (now.kind === 'cut' && index === (now.after ?? 3)) {
          journal.write({ event: 'cut', run: runId, tokens: index, ...ids });
          return response.socket?.resetAndDestroy();
        }
        await pause(flags.pace);
        if (response.destroyed) return journal.write({ event: 'left', run: runId, tokens: index, ...ids });
        const chunk = {
          id: runId,
          object: 'chat.completion.chunk',
          choices: [{ index: 0, delta: { content: token(index) } }],
        };
        const eventId = isResumable ? `id: ${index}\n` : '';
        if (!response.write(`${eventId}data: ${JSON.stringify(chunk)}\n\n`))
          await new Promise<void>((resolve) => {
            response.once('drain', resolve);
            response.once('close', resolve);
          });
      }
      response.end('data: [DONE]\n\n');
      journal.write({ event: 'done', run: runId, tokens: count, ...ids });
    } finally {
      free();
    }
  };
  const lookUp = async (request: IncomingMessage, response: ServerResponse) => {
    const ids = {
      request: request.headers['bramblebend-request-id'],
      caller: request.headers['x-request-id'],
    };
    journal.write({ event: 'run', instance: flags.instance, run: randomUUID().slice(0, 8), ...ids });
    await pause(flags.pace);
    json(response, 200, { sku: request.url?.split('/').at(-1), count: 7, by: flags.instance });
  };
  const command = async (request: IncomingMessage, response: ServerResponse) => {
    fault = JSON.parse(await readBody(request)) as Fault;
    json(response, 200, { fault });
  };
  const attend = async (request: IncomingMessage, response: ServerResponse) => {
    const path = request.url ?? '/';
    if (path === '/_fault') return command(request, response);
    if (path === '/v1/models' && flags.kind === 'model')
      return json(response, 200, {
        object: 'list',
        data: models.map((id) => ({ id, object: 'model', created: 0, owned_by: flags.service })),
      });
    if (path === '/identity')
      return json(response, 200, { service: flags.service, instance: flags.instance });
    const text = await readBody(request);
    served += 1;
    const now = useFault();
    if (now.kind === 'reset') {
      journal.write({
        event: 'run',
        instance: flags.instance,
        run: `reset-${served}`,
        request: request.headers['bramblebend-request-id'],
        caller: request.headers['x-request-id'],
      });
      return request.socket.resetAndDestroy();
    }
    if (now.kind === 'status') {
      journal.write({
        event: now.isNotRun ? 'refused' : 'run',
        instance: flags.instance,
        run: `status-${served}`,
        request: request.headers['bramblebend-request-id'],
        caller: request.headers['x-request-id'],
      });
      return refuse(response, now.status ?? 503, now.isNotRun ?? false, now.retryAfter);
    }
    if (flags.kind === 'ordering') return lookUp(request, response);
    return complete(request, response, text, now);
  };
  const note = (request: IncomingMessage, response: ServerResponse) => {
    const path = request.url ?? '/';
    if (path === '/_fault') return;
    const entry = {
      instance: flags.instance,
      request: request.headers['bramblebend-request-id'],
      caller: request.headers['x-request-id'],
    };
    const isQuestion = path === '/v1/models' || path === '/identity';
    journal.write({ event: isQuestion ? 'asked' : 'arrived', ...entry });
    if (!isQuestion) response.once('close', () => journal.write({ event: 'gone', ...entry }));
  };
  const server = createServer((request, response) => {
    note(request, response);
    const id = request.headers['bramblebend-request-id'];
    if (id !== undefined) response.setHeader('bramblebend-request-id', id);
    if (fault.kind === 'refuse' && request.url !== '/_fault') return void request.socket.resetAndDestroy();
    attend(request, response).catch(() => response.destroy());
  });
  const cut = flags.listen.lastIndexOf(':');
  server.listen(Number(flags.listen.slice(cut + 1)), flags.listen.slice(0, cut), () => {
    const bound = server.address();
    const port = typeof bound === 'object' && bound ? bound.port : 0;
    journal.write({ event: 'up', instance: flags.instance });
    process.stdout.write(
      `${JSON.stringify({ ready: true, program: 'standin', listen: `${flags.listen.slice(0, cut)}:${port}` })}\n`,
    );
  });
};

sade('standin', true)
  .option('--kind', 'model or ordering', 'model')
  .option('--instance', 'name of this instance')
  .option('--service', 'name of the service', 'service')
  .option('--listen', 'address', '127.0.0.1:0')
  .option('--journal', 'file', '/dev/null')
  .option('--models', 'models served, comma-separated', '')
  .option('--slots', 'requests at once', 4)
  .option('--queue', 'requests waiting at most', 8)
  .option('--prefill', 'milliseconds per 1000 uncached characters', 10)
  .option('--pace', 'milliseconds per token', 10)
  .option('--cold', 'milliseconds of being cold', 0)
  .action((flags: Flags) => run(flags))
  .parse(process.argv);

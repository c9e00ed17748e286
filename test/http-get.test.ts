/** Reads of small documents: complete or rejected, within the timeout, over one keep-alive connection. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { HttpGet } from '../src/wire/http-get.js';
import { AnsweringServer } from './answering-server.js';

const serve = AnsweringServer.start;
afterEach(AnsweringServer.end);

describe('a document read by HTTP', () => {
  it('is read completely, over one shared connection', async () => {
    const { address, connections } = await serve((request, response) => response.end(`at ${request.url}`));
    const { read } = HttpGet.of(5000);
    const answers = await Promise.all(['/a', '/b', '/c?d=e'].map((path) => read(address, path)));
    assert.deepEqual(
      answers,
      ['/a', '/b', '/c?d=e'].map((path) => ({ status: 200, body: `at ${path}` })),
    );
    assert.equal(connections(), 1);
  });
  it('is returned with its status', async () => {
    const { address } = await serve((_request, response) => response.writeHead(429).end());
    assert.deepEqual(await HttpGet.of(5000).read(address, '/'), { status: 429, body: '' });
  });
  it('is rejected when the response does not start or finish in time', async () => {
    const silent = await serve(() => {});
    const slow = await serve((_request, response) => void response.writeHead(200).write('half'));
    for (const { address } of [silent, slow])
      await assert.rejects(HttpGet.of(200).read(address, '/'), /no complete response in time|aborted/);
  });
  it('is rejected when the response is truncated', async () => {
    const { address } = await serve((_request, response) => {
      response.writeHead(200, { 'content-length': '100' });
      response.write('half', () => response.destroy());
    });
    await assert.rejects(HttpGet.of(5000).read(address, '/'));
  });
  it('is rejected when nothing listens, and the reader still works afterwards', async () => {
    const { read } = HttpGet.of(5000);
    await assert.rejects(read('127.0.0.1:1', '/'));
    const { address } = await serve((_request, response) => response.end('there'));
    assert.equal((await read(address, '/')).body, 'there');
  });
});

// Small documents of other programs: whole or not at all, in time, over one kept connection.
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { HttpGet } from '../src/wire/http-get.js';
import { AnsweringServer } from './answering-server.js';

const serve = AnsweringServer.start;
afterEach(AnsweringServer.end);

describe('a document of another program', () => {
  it('is read whole, over one connection for all', async () => {
    const { address, connections } = await serve((request, response) => response.end(`at ${request.url}`));
    const { read } = HttpGet.of(5000);
    const answers = await Promise.all(['/a', '/b', '/c?d=e'].map((path) => read(address, path)));
    assert.deepEqual(
      answers,
      ['/a', '/b', '/c?d=e'].map((path) => ({ status: 200, body: `at ${path}` })),
    );
    assert.equal(connections(), 1);
  });
  it('comes with the status it has', async () => {
    const { address } = await serve((_request, response) => response.writeHead(429).end());
    assert.deepEqual(await HttpGet.of(5000).read(address, '/'), { status: 429, body: '' });
  });
  it('is given up when it has not begun in time, or has not ended', async () => {
    const silent = await serve(() => {});
    const slow = await serve((_request, response) => void response.writeHead(200).write('half'));
    for (const { address } of [silent, slow])
      await assert.rejects(HttpGet.of(200).read(address, '/'), /no whole answer in time|aborted/);
  });
  it('is none when it is cut', async () => {
    const { address } = await serve((_request, response) => {
      response.writeHead(200, { 'content-length': '100' });
      response.write('half', () => response.destroy());
    });
    await assert.rejects(HttpGet.of(5000).read(address, '/'));
  });
  it('is none where nobody listens, and can be read once somebody does', async () => {
    const { read } = HttpGet.of(5000);
    await assert.rejects(read('127.0.0.1:1', '/'));
    const { address } = await serve((_request, response) => response.end('there'));
    assert.equal((await read(address, '/')).body, 'there');
  });
});

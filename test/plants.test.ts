/** Each planted defect of the campaign still has its place in the built programs. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { Plants } from '../tools/plants/plants.js';

const built = new URL('../', import.meta.url);

describe('planted defects of the campaign', () => {
  it('have a place in the built programs, and change it', () => {
    const missing = Plants.flatMap((plant) =>
      [plant, ...(plant.also ? [plant.also] : [])]
        .filter(
          ({ file, from, to }) => from === to || !readFileSync(new URL(file, built), 'utf8').includes(from),
        )
        .map(({ file, from }) => `${plant.name}: ${file} has no ${from}`),
    );
    assert.deepEqual(missing, []);
  });
});

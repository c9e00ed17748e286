// The program: explores the model within its bounds and prints what it found; the last line is one JSON object. With
// `--plants` each planted rule is looked for within bounds of its own, and without it must not be found there.
import { parseArgs } from 'node:util';
import { Bounds, type Plant } from './bounds.js';
import { Planted } from './plants.js';
import { Search, type Violation } from './search.js';

const { values } = parseArgs({
  options: {
    states: { type: 'string', default: '10500000' },
    plants: { type: 'boolean', default: false },
    plant: { type: 'string', multiple: true, default: [] },
    bound: { type: 'string', multiple: true, default: [] },
    only: { type: 'boolean', default: false },
  },
});

const began = Date.now();
const seconds = () => Math.round((Date.now() - began) / 100) / 10;

const parsed = (text: string | undefined): number | boolean =>
  text === 'true' || text === 'false' ? text === 'true' : Number(text);

const given: Partial<Bounds> = Object.fromEntries(
  values.bound.map((text) => {
    const [name, value] = text.split('=');
    return [name, parsed(value)];
  }),
);

const print = ({ breach, trace }: Violation) => {
  console.log(`VIOLATION: ${breach}`);
  trace.forEach((text, index) => {
    console.log(`${String(index + 1).padStart(4)}  ${text}`);
  });
};

const runPlants = () => {
  const results = Planted.all.map((planted) => {
    const result = Planted.search(planted);
    const isFound = Planted.isFound(planted, result);
    console.log(`${planted.name}: ${isFound ? 'found' : 'MISSED'}, ${result.states} states, ${seconds()} s`);
    result.violations.forEach(print);
    return { name: planted.name, isFound, states: result.states };
  });
  const found = results.filter(({ isFound }) => isFound).map(({ name }) => name);
  const missed = results.filter(({ isFound }) => !isFound).map(({ name }) => name);
  const states = results.reduce((sum, result) => sum + result.states, 0);
  console.log(JSON.stringify({ states, found, missed }));
  process.exitCode = missed.length > 0 ? 1 : 0;
};

const run = () => {
  const bounds = values.only ? Bounds.of(given) : { ...Bounds.usual, ...given };
  const { states, depth, isWhole, violations } = Search.run({
    bounds,
    plants: values.plant as Plant[],
    most: Number(values.states),
    isFirstOnly: values.plant.length > 0,
    onLevel: (level, count) => console.log(`depth ${level}: ${count} states, ${seconds()} s`),
  });
  violations.forEach(print);
  const megabytes = Math.round(process.memoryUsage().rss / 2 ** 20);
  console.log(JSON.stringify({ bounds, isWhole, megabytes, wall_s: seconds() }));
  console.log(JSON.stringify({ states, depth, violations: violations.length }));
  process.exitCode = violations.length > 0 ? 1 : 0;
};

if (values.plants) runPlants();
else run();

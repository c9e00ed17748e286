// Writes out, as a module, the functions that protobufjs generates from our schema when a process first uses a
// frame: a deployed process has them compiled already, and needs neither the parser nor the reflection.
import protobuf from 'protobufjs';
import converter from 'protobufjs/src/converter.js';
import decoder from 'protobufjs/src/decoder.js';
import encoder from 'protobufjs/src/encoder.js';
import minimal from 'protobufjs/minimal.js';

const valueOf = (field) => {
  const value = field.defaultValue;
  if (field.repeated) return 'util.emptyArray';
  if (field.type === 'bytes') return 'util.newBuffer([])';
  if (value !== null && typeof value === 'object') return `util.Long.fromBits(${value.low},${value.high},${value.unsigned})`;
  return JSON.stringify(value ?? null);
};

const codeOf = (type) => {
  const types = type.fieldsArray.map((field) => {
    const { resolvedType } = field.resolve();
    return resolvedType ? `all[${JSON.stringify(resolvedType.fullName)}]` : 'null';
  });
  const oneofs = type.oneofsArray.map(
    ({ name, oneof }) =>
      `Object.defineProperty(C.prototype,${JSON.stringify(name)},{get:util.oneOfGetter(${JSON.stringify(oneof)}),set:util.oneOfSetter(${JSON.stringify(oneof)})});`,
  );
  return `{
const type=all[${JSON.stringify(type.fullName)}],types=[${types}];
const C=${protobuf.Type.generateConstructor(type).toString('C')};
${type.fieldsArray.map((field) => `C.prototype[${JSON.stringify(field.name)}]=${valueOf(field)};`).join('')}
${oneofs.join('')}
type.ctor=C;
type.encode=${encoder(type).toString('encode')};
type.decode=${decoder(type).toString('decode')};
type.fromObject=${converter.fromObject(type).toString('fromObject')};
type.toObject=${converter.toObject(type).toString('toObject')};
}`;
};

/** A module that exports what src/wire/schema.ts does, from that module's own root type. */
export const frameCode = (frame) => {
  const { root } = frame;
  frame.setup();
  const types = root.nestedArray.filter((one) => one instanceof protobuf.Type);
  if (types.some((type) => type.nestedArray.length > 0) || types.length !== root.nestedArray.length)
    throw new Error('the schema holds more than plain messages');
  const code = types.map(codeOf).join('\n');
  const missing = [...code.matchAll(/\butil\.(\w+)/g)].filter(([, name]) => !(name in minimal.util));
  if (missing.length > 0) throw new Error(`not in the small library: ${missing.map(([, name]) => name)}`);
  return `import minimal from 'protobufjs/minimal.js';
const { Writer, Reader, util } = minimal;
const all = {${types.map((type) => `${JSON.stringify(type.fullName)}:{}`).join()}};
${code}
export const Schema = { frame: all[${JSON.stringify(frame.fullName)}] };
`;
};

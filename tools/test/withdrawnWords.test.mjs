import assert from 'node:assert/strict';
import test from 'node:test';
import { withdrawnWordFindings } from '../checks/withdrawnWords.mjs';

test('a withdrawn word is found with its place and its term, in folders that are done', () => {
  const found = withdrawnWordFindings('packages/consensus/src/x.ts', 'const a = 1;\n/** The owner of it. */\n');
  assert.deepEqual(found, ['packages/consensus/src/x.ts:2: "owner" is withdrawn; the term is leader']);
});

test('parts of words, a hash of its own and folders that are not done are passed over', () => {
  assert.deepEqual(withdrawnWordFindings('packages/consensus/src/x.ts', 'export const downer = hash.update(x).digest();'), []);
  assert.deepEqual(withdrawnWordFindings('programs/proxy/src/x.ts', 'the owner'), []);
});

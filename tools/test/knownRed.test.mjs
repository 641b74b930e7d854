import assert from 'node:assert/strict';
import test from 'node:test';
import { judgeRun, readKnownRed } from '../knownRed.mjs';

test('a list of red tests is read, and every malformed line is found', () => {
  const { entries, findings } = readKnownRed(
    '# why\n\na test | a command | what | 12\nnothing seen | a | | 3\njust a name\na test | again | what | 13\na | b | c\na | b | c | d | e\n',
  );
  assert.deepEqual(entries, [{ name: 'a test', command: 'a command', seen: 'what', issue: '12' }]);
  assert.deepEqual(
    findings.map((finding) => finding.slice(0, 7)),
    ['line 4:', 'line 5:', 'line 6:', 'line 7:', 'line 8:'],
  );
});

test('exactly the listed red tests are passed over', () => {
  const entries = [{ name: 'listed', command: 'a', seen: 'b', issue: '1' }];
  const judged = (...ran) =>
    judgeRun(
      ran.map(([name, green]) => ({ name, green })),
      entries,
    ).findings.length;
  assert.equal(judged(['listed', false], ['other', true]), 0);
  assert.equal(judged(['listed', true]), 1, 'a listed test is green');
  assert.equal(judged(['other', true]), 1, 'a listed test is unknown');
  assert.equal(judged(['listed', false], ['other', false]), 1, 'another test is red');
  assert.equal(judged(['listed', false], ['listed', true]), 1, 'two tests have the listed name');
});

// Runs all tests, passes over those listed in KNOWN-RED.txt, and fails for any other and for a list that is not true.
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { judgeRun, readKnownRed } from './knownRed.mjs';

const list = readKnownRed(readFileSync('KNOWN-RED.txt', 'utf8'));
const find = ['packages', 'programs', 'testing', 'examples', 'platform', 'tools'];
const tests = ['(', '-path', '*/dist/test/*.test.js', '-o', '-path', 'tools/test/*.test.mjs', ')', '-not', '-path', '*/node_modules/*'];
const paths = execFileSync('find', [...find, ...tests]);
const given = process.argv.slice(2);
const files = given.length > 0 ? given : paths.toString().split('\n').filter(Boolean).sort();

const ran = [];
// A suite is red with its tests; only the tests themselves count.
const isLeaf = ({ details }) => details.type !== 'suite' && details.error?.failureType !== 'subtestsFailed';
const stream = run({ files, concurrency: true, timeout: 300_000 });
const note = (event, green) => {
  if (event.skip === undefined && event.todo === undefined && isLeaf(event)) ran.push({ name: event.name, green });
};
stream.on('test:pass', (event) => note(event, true));
stream.on('test:fail', (event) => note(event, false));
for await (const lines of stream.compose(new spec())) process.stdout.write(lines);

const { passedOver, findings } = judgeRun(ran, list.entries);
for (const { name, command, seen, issue } of passedOver) console.log(`known red: ${name} | ${command} | ${seen} | ${issue}`);
for (const finding of [...list.findings.map((one) => `KNOWN-RED.txt: ${one}`), ...findings]) console.log(finding);
const green = ran.filter((one) => one.green).length;
console.log(`# tests ${ran.length}\n# pass ${green}\n# fail ${ran.length - green}\n# known red ${passedOver.length}`);
// A run of nothing shows nothing.
process.exitCode = list.findings.length + findings.length > 0 || ran.length === 0 ? 1 : 0;

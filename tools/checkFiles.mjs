// House rules no linter knows: one exported name a file, a lock file without addresses, that docs/brief.md
// names nothing that does not exist, that the platform's names stand in platform/ and deploy/ alone, and that platform/ is small,
// and that folders that are done with the withdrawn words stay so.
import { readFileSync } from 'node:fs';
import { execFileSync } from 'node:child_process';
import { withdrawnWordFindings } from './withdrawnWords.mjs';

/** The platform's sources, as a part of the lines of all programs and packages. */
const platformRatio = 0.1;
const findings = [];
const files = execFileSync('git', ['ls-files', '-co', '--exclude-standard'], { encoding: 'utf8' })
  .split('\n')
  // Journal entries are kept just as they were written.
  .filter((file) => file !== '' && !file.startsWith('journal/'));
for (const file of files) {
  if (!/\.(ts|js|mjs|md)$/.test(file)) continue;
  let text;
  try { text = readFileSync(file, 'utf8'); } catch { continue; }
  if (file.endsWith('.ts')) findings.push(...withdrawnWordFindings(file, text));
  if (!file.endsWith('.ts') || file.endsWith('index.ts')) continue;
  const names = new Set([...text.matchAll(/^export (?:async )?(?:abstract )?(?:const|function|class|interface|type|enum)\*? (\w+)/gm)].map((m) => m[1]));
  if (names.size > 1) findings.push(`${file}: exports ${[...names].join(', ')}; one name a file`);
}
if (/"resolved": "http/.test(readFileSync('package-lock.json', 'utf8'))) findings.push('package-lock.json: holds resolved addresses');
findings.push(...platformFindings());
findings.push(...briefFindings(readFileSync('docs/brief.md', 'utf8')));
for (const finding of findings) console.error(finding);
console.log(`${files.length} files checked, ${findings.length} findings`);
process.exit(findings.length === 0 ? 0 : 1);

/** The platform's words belong where they are translated. */
function platformFindings() {
  const fields = `MachineClass|InternalPorts|SeedPeers|BeatPeriodMs|DataDir|ContactMs|SettlingMs|StretchMs|RevertSlackMs
    ApplyMs|AckMs|DrainMs|CancelMs|Channels|Plants|PathPrefix|RouteKind|CutoffMs|SetpointMs|GapSetpointMs|RunSetpointMs|BacklogCap|RetainS|ConnLimit|CacheTokens
    Upsert|ProbePath|CallSeq|ColdLeftMs|BeatTarget|StartAfter|NextToken|HorizonS|PEWTERLANDING_SETTINGS`.replace(/\s+/g, '|');
  const named = new RegExp(`\\b(${fields})\\b`);
  const paths = /\/v1\/(config\/(replace|amend|read)|instances\/|retire\/|items\/|ready\b)/;
  const header =
    /pewterlanding-(request-id|deadline|answer-seal|not-run|expect-|model|token-count|prompt-prefix|urgency|hold-ms|based-on|instance-id|weight)/i;
  const exempt = /^(platform\/|deploy\/|docs\/platform\.md$|tools\/checkFiles\.mjs$)/;
  const found = [];
  const lines = { platform: 0, product: 0 };
  for (const file of files) {
    if (!/\.(ts|js|mjs|md|json|toml|ya?ml|txt)$/.test(file) && !file.startsWith('.ci/')) continue;
    let text;
    try { text = readFileSync(file, 'utf8'); } catch { continue; }
    if (/^platform\/src\//.test(file)) lines.platform += text.split('\n').length - 1;
    if (/^(programs|packages)\/[\w-]+\/src\//.test(file)) lines.product += text.split('\n').length - 1;
    if (exempt.test(file)) continue;
    text.split('\n').forEach((line, at) => {
      const name = named.exec(line) ?? paths.exec(line) ?? header.exec(line);
      if (name !== null) found.push(`${file}:${at + 1}: ${name[0]} is the platform's name`);
    });
  }
  if (lines.platform > lines.product * platformRatio)
    found.push(`platform/src: ${lines.platform} lines, more than a tenth of the ${lines.product} of programs and packages`);
  return found;
}

/** Every path, scenario, fault, guard or test that the page on the brief names must be there. */
function briefFindings(text) {
  const names = (pattern, of) => new Set(files.filter((file) => pattern.test(file)).flatMap((file) => [...readFileSync(file, 'utf8').matchAll(of)].map((m) => m[1])));
  const known = {
    sim: names(/simulator\/src\/(scenarios|faults)\/\w+(Scenarios|Faults)\.ts$/, /^  (\w+): (?:\w+\(|\{$|\{ (?:inject|run|\.\.\.))/gm),
    real: names(/simulator\/src\/fleet\/\w+Faults\.ts$/, /^  (\w+): (?:async )?\(/gm),
    guard: names(/mutation\/mutations\.ts$/, /name: '(\w+)'/g),
    test: new Set(files.flatMap((file) => /\/test\/(\w+)\.test\.ts$/.exec(file)?.[1] ?? [])),
  };
  return text.split('\n').flatMap((line, at) =>
    [...line.matchAll(/`([^`]+)`/g)].flatMap(([, name]) => {
      const place = `docs/brief.md:${at + 1}`;
      const [, kind, rest] = /^(sim|real|guard|test):(\w*)$/.exec(name) ?? [];
      if (kind !== undefined && rest !== '') return known[kind].has(rest) ? [] : [`${place}: no ${kind} ${rest}`];
      return /^[\w./-]+\/[\w.-]+\.\w+$/.test(name) && !files.includes(name) ? [`${place}: no file ${name}`] : [];
    }),
  );
}

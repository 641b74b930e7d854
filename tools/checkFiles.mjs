// House rules that no linter knows; each check stands in tools/checks.
import { execFileSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { briefPageFindings } from './checks/briefPage.mjs';
import { docPathFindings } from './checks/docPaths.mjs';
import { exportNameFindings } from './checks/exportNames.mjs';
import { importOrderFindings } from './checks/importOrder.mjs';
import { platformNameFindings, platformSizeFindings } from './checks/platformNames.mjs';
import { withdrawnWordFindings } from './checks/withdrawnWords.mjs';

const text = /\.(ts|js|mjs|cjs|md|json|toml|ya?ml|txt)$|^\.ci\//;

/** The project's text files by path. Journal entries and fixtures are kept just as they were written. */
function readFiles() {
  const paths = execFileSync('git', ['ls-files', '-co', '--exclude-standard'], { encoding: 'utf8' }).split('\n');
  const read = paths.filter((path) => text.test(path) && !/^(journal|testing\/fixtures)\//.test(path) && existsSync(path));
  return new Map(read.map((path) => [path, readFileSync(path, 'utf8')]));
}

const files = readFiles();
const findings = [
  ...[...files].flatMap(([file, content]) => exportNameFindings(file, content)),
  ...[...files].flatMap(([file, content]) => (file.endsWith('.ts') ? withdrawnWordFindings(file, content) : [])),
  ...importOrderFindings(files),
  ...platformNameFindings(files),
  ...platformSizeFindings(files),
  ...briefPageFindings(files),
  ...docPathFindings(files),
  ...(/"resolved": "http/.test(files.get('package-lock.json') ?? '') ? ['package-lock.json: holds resolved addresses'] : []),
];
for (const finding of findings) console.error(finding);
console.log(`${files.size} files checked, ${findings.length} findings`);
process.exit(findings.length === 0 ? 0 : 1);

import { readFile } from 'node:fs/promises';
import * as v from 'valibot';
import { AuditTrail, verifyAudit } from '@pewterlanding/controller';
import { check } from '@pewterlanding/model';
import type { Finding } from '@pewterlanding/model';
import type { Command } from './command.js';
import { exitCode } from './exitCode.js';
import { failedReturn } from './failedReturn.js';
import { usageReturn } from './usageReturn.js';

const KeysFile = v.object({ keys: AuditTrail.entries.keys });

/** Checks the signed trail of confirmed configurations: by the keys in a file kept elsewhere, or else by the trail's own. */
export const auditCommand: Command = {
  usage: '[KEYS-FILE]',
  help: 'check the signed trail of confirmed configurations, by keys kept elsewhere if given',
  run: async ({ controller, args }) => {
    const response = await controller.ask('GET', '/v1/audit');
    const trail = check(AuditTrail, response.body);
    if (response.status !== 200 || !trail.ok) return failedReturn(response);
    const [file] = args;
    const trusted = file === undefined ? undefined : check(KeysFile, JSON.parse(await readFile(file, 'utf8')));
    if (trusted !== undefined && !trusted.ok) return usageReturn('audit [KEYS-FILE], a JSON object with "keys"');
    const findings = await verifyAudit(trail.value, trusted?.value.keys);
    return {
      code: findings.length === 0 ? exitCode.done : exitCode.findings,
      text: textOf(trail.value, findings),
      json: { findings, ...trail.value },
    };
  },
};

function textOf(trail: AuditTrail, findings: readonly Finding[]): string {
  if (findings.length === 0) return `${trail.entries.length} entries, each signed and in its place, up to version ${trail.version}`;
  return findings.map((finding) => `${finding.place}: ${finding.message}`).join('\n');
}

import { auditHash } from '../audit/auditHash.js';
import type { ConfigurationChange } from '../configuration/configurationChange.js';
import type { ChangeBody } from './changeBody.js';

/** The change that an operator's body asks for. A body sent again has the same hash on both versions of the path. */
export function configurationChangeOf(body: ChangeBody): ConfigurationChange {
  const { basedOn, revision, ...content } = body;
  // Shards remember hashes of bodies whose field was `mark`; a change that is sent again after an upgrade must match them.
  const hash = auditHash(JSON.stringify({ basedOn, mark: revision, ...content }));
  const change =
    'whole' in content ? { kind: 'whole' as const, configuration: content.whole } : { kind: 'items' as const, ...content.items };
  return { basedOn, revision, hash, change };
}

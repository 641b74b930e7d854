// Words of the earlier house style, withdrawn in favour of the field's terms, and the folders that are done with them.
import { doneFolders } from './doneFolders.mjs';

/** A withdrawn word, and the term that takes its place. */
const withdrawn = new Map([
  ['owner', 'leader'],
  ['owners', 'leaders'],
  ['owning', 'isLeader'],
  ['epoch', 'term'],
  ['epochs', 'terms'],
  ['seat', 'group member'],
  ['seats', 'group'],
  ['digest', 'snapshot'],
  ['canvass', 'pre-vote'],
  ['campaign', 'election'],
  ['founding', 'bootstrap'],
  ['founded', 'bootstrapped'],
  ['incarnation', 'member id'],
  ['silenceMs', 'failureTimeoutMs'],
  ['beatMs', 'heartbeatMs'],
  ['lane', 'serial queue'],
  ['handover', 'leadership transfer'],
  ['setup', 'configuration'],
  ['setups', 'configurations'],
  ['lot', 'batch'],
  ['lots', 'batches'],
  ['branch', 'quota'],
  ['branches', 'quotas'],
  ['duty', 'singleton role'],
  ['duties', 'singleton roles'],
  ['wish', 'selection request'],
  ['purse', 'allowance'],
  ['news', 'updates'],
  ['kin', 'peers'],
  ['hurt', 'ejected'],
]);
/** Words with a meaning of their own in the field, which only these folders have withdrawn. */
const onlyIn = new Map([
  ['digest', ['packages/consensus/']],
  ['incarnation', ['packages/consensus/']],
  ['handover', ['packages/consensus/']],
  ['campaign', ['packages/consensus/']],
  ['owner', ['packages/consensus/']],
  ['owners', ['packages/consensus/']],
]);

/** Modules whose job is to read what an earlier version wrote. */
const readsOldNames =
  /(Format|Version)1(\.test)?\.ts$|\/format1\w+\.ts$|\/(renamedCommands|readConfiguration\.test|renameFields\.test|batchApi\.test)\.ts$/;
/** A stored or sent name stays as it is; only identifiers and comments are judged. */
const stringLiterals = /'(?:[^'\\\n]|\\.)*'|"(?:[^"\\\n]|\\.)*"|`(?:[^`\\]|\\.)*`/g;

/** What of the withdrawn words still stands in a file of a folder that is done. */
export function withdrawnWordFindings(file, text) {
  if (readsOldNames.test(file) || !doneFolders.some((folder) => file.startsWith(folder))) return [];
  return text.split('\n').flatMap((line, index) => {
    const judged = line.replace(stringLiterals, "''");
    return (
      [...withdrawn]
        .filter(([word]) => onlyIn.get(word)?.some((folder) => file.startsWith(folder)) ?? true)
        // A hash's own method is called digest; it is no word of ours.
        .filter(([word]) => new RegExp(`(?<!\\)\\.)\\b${word}\\b`).test(judged))
        .map(([word, term]) => `${file}:${index + 1}: "${word}" is withdrawn; the term is ${term}`)
    );
  });
}

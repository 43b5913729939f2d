package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// documentExtensions lists the extensions of the files read from a folder.
var documentExtensions = []string{".json", ".jsonc", ".hujson"}

// documentSet holds the documents read from a list of files and folders.
type documentSet struct {
	docs        []profile.Document
	files       map[profile.Key]string
	findings    finding.List
	onlyFolders bool // every path is a folder
}

// readDocuments reads files, and folders recursively. It reports the findings
// of all files together.
func readDocuments(paths []string) (documentSet, error) {
	set := documentSet{files: map[profile.Key]string{}, onlyFolders: true}
	for _, path := range paths {
		info, err := os.Stat(path)
		switch {
		case err != nil:
			set.addReadError(path, err)
		case info.IsDir():
			set.readFolder(path)
		default:
			set.onlyFolders = false
			set.readFile(path)
		}
	}
	set.findings.Sort()
	return set, set.findings.Err()
}

func (s *documentSet) addReadError(path string, err error) {
	s.findings = append(s.findings, finding.Finding{File: path, Problem: "cannot be read: " + err.Error()})
}

func (s *documentSet) readFolder(folder string) {
	before := len(s.docs) + len(s.findings)
	err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != folder && strings.HasPrefix(d.Name(), "."):
			return fs.SkipDir
		case !d.IsDir() && slices.Contains(documentExtensions, filepath.Ext(path)):
			s.readFile(path)
		}
		return nil
	})
	if err != nil {
		s.addReadError(folder, err)
	}
	// An empty folder is most likely a wrong path; pruning with it would retire
	// every document.
	if len(s.docs)+len(s.findings) == before {
		s.findings = append(s.findings, finding.Finding{File: folder, Problem: "the folder holds no documents", Allowed: "files ending in " + strings.Join(documentExtensions, ", ")})
	}
}

func (s *documentSet) readFile(file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		s.addReadError(file, err)
		return
	}
	docs, findings := profile.ParseFile(file, data)
	s.findings = append(s.findings, findings...)
	for _, d := range docs {
		s.addDocument(file, d)
	}
}

func (s *documentSet) addDocument(file string, d profile.Document) {
	if other, ok := s.files[d.Key()]; ok {
		s.findings = append(s.findings, finding.Finding{
			File: file, Path: d.Key().String(), Problem: fmt.Sprintf("the document is already defined in %s", other), Allowed: "each document once",
		})
		return
	}
	s.files[d.Key()] = file
	s.docs = append(s.docs, d)
}

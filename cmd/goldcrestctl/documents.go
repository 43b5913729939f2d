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

// extensions of the files that are read from a folder.
var extensions = []string{".json", ".jsonc", ".hujson"}

// documentSet is what a list of files and folders holds.
type documentSet struct {
	docs    []profile.Document
	files   map[profile.Key]string
	found   finding.List
	folders bool // every path is a folder
}

// readDocuments reads files, and folders with everything below them. All
// findings are reported together.
func readDocuments(paths []string) (documentSet, error) {
	set := documentSet{files: map[profile.Key]string{}, folders: true}
	for _, path := range paths {
		info, err := os.Stat(path)
		switch {
		case err != nil:
			set.fail(path, err)
		case info.IsDir():
			set.readFolder(path)
		default:
			set.folders = false
			set.readFile(path)
		}
	}
	set.found.Sort()
	return set, set.found.Err()
}

func (s *documentSet) fail(path string, err error) {
	s.found = append(s.found, finding.Finding{File: path, Problem: "cannot be read: " + err.Error()})
}

func (s *documentSet) readFolder(folder string) {
	before := len(s.docs) + len(s.found)
	err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != folder && strings.HasPrefix(d.Name(), "."):
			return fs.SkipDir
		case !d.IsDir() && slices.Contains(extensions, filepath.Ext(path)):
			s.readFile(path)
		}
		return nil
	})
	if err != nil {
		s.fail(folder, err)
	}
	// An empty folder is a mistake in a path; pruning by it would retire all.
	if len(s.docs)+len(s.found) == before {
		s.found = append(s.found, finding.Finding{File: folder, Problem: "the folder holds no documents", Allowed: "files ending in " + strings.Join(extensions, ", ")})
	}
}

func (s *documentSet) readFile(file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		s.fail(file, err)
		return
	}
	docs, found := profile.ParseFile(file, data)
	s.found = append(s.found, found...)
	for _, d := range docs {
		s.addDocument(file, d)
	}
}

func (s *documentSet) addDocument(file string, d profile.Document) {
	if other, ok := s.files[d.Key()]; ok {
		s.found = append(s.found, finding.Finding{
			File: file, Path: d.Key().String(), Problem: fmt.Sprintf("the document stands in %s already", other), Allowed: "each document once",
		})
		return
	}
	s.files[d.Key()] = file
	s.docs = append(s.docs, d)
}
